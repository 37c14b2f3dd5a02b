package statesync

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestReadingFollowsMessages guards against reads of the store that get lost on the way, and against messages that former
// builds, which know paces only, cannot read.
func TestReadingFollowsMessages(t *testing.T) {
	reading := traffic.Reading{VM: member(3, 1, "a").VM, Number: 12}
	for _, work := range []endpointWorks{nil, {{Name: "x"}}, {{Name: "x"}, {Name: "y", Slowness: 2.5, SlownessAge: time.Second}}} {
		raw, err := msgpack.Marshal(&heartbeat{From: member(2, 1, "a"), Work: work, Reading: reading})
		if err != nil {
			t.Fatal(err)
		}
		var got heartbeat
		if err := codec.Unmarshal(raw, &got); err != nil || got.Reading != reading || len(got.Work) != len(work) {
			t.Errorf("got %+v, error %v", got, err)
		}
		var former plainHeartbeat
		rest, err := codec.UnmarshalFirst(raw, &former)
		if err != nil {
			t.Fatal(err)
		}
		var paces []endpointPace
		if err := codec.Unmarshal(rest, &paces); err != nil || len(paces) != max(0, len(work)-1) {
			t.Errorf("a former build reads the paces %v, error %v", paces, err)
		}
	}
	raw, err := msgpack.Marshal(&digest{From: member(2, 1, "a"), Reading: reading})
	if err != nil {
		t.Fatal(err)
	}
	var got digest
	if err := codec.Unmarshal(raw, &got); err != nil || got.Reading != reading {
		t.Errorf("got %+v, error %v", got, err)
	}
	var former plainDigest
	if err := codec.Unmarshal(raw, &former); err != nil || former.From != got.From {
		t.Errorf("a former build reads %+v, error %v", former, err)
	}
}

// TestMessagesWithoutReading guards against messages of former builds that are not read, or that seem to name a read.
func TestMessagesWithoutReading(t *testing.T) {
	sent := heartbeat{From: member(2, 1, "a"), Work: endpointWorks{{Name: "y", Slowness: 2.5, SlownessAge: time.Second}}}
	raw, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	for _, rest := range []string{"", "\xc1", "\x92", "\x93\x01\x02\x03"} {
		var got heartbeat
		if err := codec.Unmarshal(append(raw[:len(raw):len(raw)], rest...), &got); err != nil || !got.Reading.IsZero() || got.Work[0].Slowness != 2.5 {
			t.Errorf("followed by %x: got %+v, error %v", rest, got, err)
		}
	}
}
