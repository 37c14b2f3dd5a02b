package statesync

import (
	"bytes"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// TestRefusedElementOfAHeartbeatHidesNoOther guards against a VM that counts as lost, and against paces that are taken for
// those of other endpoints, because one element of its message cannot be read.
func TestRefusedElementOfAHeartbeatHidesNoOther(t *testing.T) {
	sent := heartbeat{
		From: member(2, 1, "a"), Full: true,
		Work:     endpointWorks{{Name: "x", Work: schedule.Work{Calls: 1}}, {Name: "y"}, {Name: "z", Slowness: 2.5, SlownessAge: time.Second}},
		Counters: []counter{{Name: "w", Total: 5}, {Name: "v", Total: 6}},
	}
	raw, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	raw = replaceOnce(t, raw, "\xa1y", "\xc3") // a boolean in place of a name
	raw = replaceOnce(t, raw, "\xa1v", "\xc3")
	var got heartbeat
	if err := codec.Unmarshal(raw, &got); err != nil {
		t.Fatal(err)
	}
	if got.From != sent.From || len(got.Work) != 2 || got.Work[0].Name != "x" || got.Work[0].Work.Calls != 1 || got.Work[1].Name != "z" || got.Work[1].Slowness != 2.5 {
		t.Errorf("got work %+v from %v", got.Work, got.From)
	}
	if len(got.Counters) != 1 || got.Counters[0].Total != 5 {
		t.Errorf("got counters %+v", got.Counters)
	}
}

func replaceOnce(t *testing.T, raw []byte, old, replacement string) []byte {
	t.Helper()
	if bytes.Count(raw, []byte(old)) != 1 {
		t.Fatalf("%q is not once in %q", old, raw)
	}
	return bytes.Replace(raw, []byte(old), []byte(replacement), 1)
}
