package statesync

import (
	"fmt"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// BenchmarkDecodeDigest measures the decoding of a digest of a data centre with 49 VMs and 200 endpoints.
func BenchmarkDecodeDigest(b *testing.B) {
	_, remote := largeFleetNode(b)
	d := &digest{From: remote[0], Members: remote}
	for i := range 200 {
		d.Work = append(d.Work, endpointWork{Name: fmt.Sprintf("i-%08x", i*7919), StartedAt: 1_790_000_000_000, Work: schedule.Work{Calls: 3, Tokens: 5000}})
	}
	raw, err := msgpack.Marshal(d)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		var got digest
		if err := codec.Unmarshal(raw, &got); err != nil || len(got.Members) != len(remote) || len(got.Work) != 200 {
			b.Fatal(err)
		}
	}
}
