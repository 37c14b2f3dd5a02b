package fleet_test

import (
	"net/netip"
	"testing"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/fleet"
)

// TestPartitionBlocksEndpoints verifies that an engine is unreachable from the VMs of a partitioned
// data centre, and reachable from all others.
func TestPartitionBlocksEndpoints(t *testing.T) {
	l := fleet.Hinokuni()
	f, err := fleet.Start(t.Context(), fleet.Options{Layout: l})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Stop() }()
	addr := netip.MustParseAddrPort(f.Document.Endpoints["fukuoka-dc-prefill1"].Address)
	load := func(vm string) error {
		d := endpoint.NewHTTPDialer(endpoint.WithVM(vm))
		defer d.Close()
		_, err := d.Engine(addr).Load(t.Context())
		return err
	}
	f.PartitionDataCentre("kagoshima-dc")
	if err := load("kagoshima-dc-vm1"); !fault.Is(err, fault.Unavailable) {
		t.Fatalf("load from a partitioned VM: got error %v, want unavailable", err)
	}
	if err := load("kumamoto-dc-vm1"); err != nil {
		t.Fatal(err)
	}
	f.Heal("kagoshima-dc")
	if err := load("kagoshima-dc-vm1"); err != nil {
		t.Fatal(err)
	}
}
