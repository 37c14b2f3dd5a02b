package statesync

import (
	"context"
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/origin"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func newOrigins() *origin.Controller {
	return origin.NewController(origin.Options{Clock: clock.BootTime{}, Log: zap.NewNop(), Metrics: metrics.NewSet()})
}

// TestOriginsReachVMsThatStartLater lets one VM know a stream before the other one starts, and tell it of another one
// afterwards.
func TestOriginsReachVMsThatStartLater(t *testing.T) {
	var nodes [2]*node
	members, listeners := listenAsTwo(t)
	o := traffic.StreamOrigin{Service: "s", Version: "v1"}
	nodes[0] = startNodeWith(t, members[0], listeners[0], nil, newQuarantine())
	first := nodes[0].opts.Origins.(*origin.Controller)
	first.Merge(origin.State{Sightings: []origin.Sighting{{Origin: o, Listed: true}}, Complete: true}, "test")
	first.Began(origin.NewKey("w", "call1"), o, time.Minute)
	nodes[1] = startNodeWith(t, members[1], listeners[1], members[:1], newQuarantine())
	second := nodes[1].opts.Origins.(*origin.Controller)
	for second.NeedsState() {
		time.Sleep(time.Millisecond)
	}
	if got, ok := second.Lookup(origin.NewKey("w", "call1")); !ok || got != o {
		t.Errorf("the VM that started later found origin %v, %v", got, ok)
	}
	for told := false; !told; { // until the first VM has heard of the second one
		nodes[0].ShareOrigins([]origin.Record{{Key: origin.NewKey("w", "call2"), Origin: o, Left: time.Minute}})
		time.Sleep(time.Millisecond)
		_, told = second.Lookup(origin.NewKey("w", "call2"))
	}
	first.AddRecords([]origin.Record{{Key: 3, Origin: o, Left: time.Minute}})
	if got, ok := nodes[1].AskOrigin(t.Context(), 3); !ok || got != o {
		t.Errorf("asking the other VM found origin %v, %v", got, ok)
	}
	if _, ok := nodes[1].AskOrigin(t.Context(), 4); ok {
		t.Error("asking for a stream that no VM knows found an origin")
	}
}

// TestOriginHoldersAgree checks that VMs of a large fleet ask those VMs of their data centre that were told, also after
// one of them is lost.
func TestOriginHoldersAgree(t *testing.T) {
	const vms, dataCentres = 295, 6
	var members []Member
	for i := range vms {
		members = append(members, Member{
			VM: ident.VM{Name: fmt.Sprint("vm-", i)}, DataCentre: fmt.Sprint(i % dataCentres),
			Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+i)),
		})
	}
	tableOf := func(i int) *memberTable {
		table := newMemberTable(members[i])
		table.addListed(0, members)
		for _, p := range table.peers {
			p.unresponsive = false
		}
		return table
	}
	teller, asker := tableOf(0), tableOf(dataCentres) // of the same data centre
	for k := range origin.Key(200) {
		told, asked := teller.originHolders(k), asker.originHolders(k)
		if len(told) > localHolders+(dataCentres-1)*remoteHolders {
			t.Fatalf("%d VMs are told of stream %d", len(told), k)
		}
		teller.peers[told[0]].unresponsive = true
		common := slices.ContainsFunc(asked, func(a netip.AddrPort) bool { return slices.Contains(told[1:], a) })
		teller.peers[told[0]].unresponsive = false
		if !common {
			t.Fatalf("stream %d: told %v, asked %v", k, told, asked)
		}
	}
}

// formerOrigins answers as a VM of the build before that has loaded an unsettled record from the store.
type formerOrigins struct{ *origin.Controller }

func (formerOrigins) Await(context.Context, origin.Key) bool { return false }

func (formerOrigins) Lookup(origin.Key) (traffic.StreamOrigin, bool) {
	return traffic.StreamOrigin{Service: "s", Version: "\x017\x01e\x01v1"}, true
}

// TestUnsettledRecordOfAFormerVMIsNoVersion guards against streams that are sent to no endpoint, or wait in vain, as their version is taken
// from a record whose mark a VM of the build before passes on.
func TestUnsettledRecordOfAFormerVMIsNoVersion(t *testing.T) {
	members, listeners := listenAsTwo(t)
	former := newNode()
	former.Service = New(Options{
		Self: members[0], Clock: clock.BootTime{}, Transport: peer.New(peer.Options{Self: members[0].VM}), Registry: former, Work: former, Plans: former,
		Documents: former, Quarantine: newQuarantine(), Origins: formerOrigins{newOrigins()}, Log: zap.NewNop(),
	})
	runNode(t, former, listeners[0])
	this := startNodeWith(t, members[1], listeners[1], members[:1], newQuarantine())
	if o, ok := this.AskOrigin(t.Context(), 3); ok {
		t.Errorf("the stream began at %q", o)
	}
	if known := this.opts.Origins.(*origin.Controller); known.Await(t.Context(), 3) {
		t.Error("this VM names the stream as one of its own")
	}
}
