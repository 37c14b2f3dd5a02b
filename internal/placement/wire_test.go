package placement

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// The total size of the messages for one request placed at another VM, without framing, is
// bounded, so that a VM's control traffic can be derived from its request rate.
func TestPlacementMessageSizeIsBounded(t *testing.T) {
	r := benchRequest(1 << 40)
	r.Workspace, r.Model, r.ID.VM.Name = "workspace-123", "model-name-70b", "fukuoka-entry-17"
	request, err := msgpack.Marshal(placeMessage{Cell: "model-name-70b@kyushu", Request: r, Wait: firstPollWait})
	if err != nil {
		t.Fatal(err)
	}
	a := Assignment{Prefill: "fukuoka-prefill-12", Decode: "kumamoto-decode-31", Reason: "first_token=123ms prefill_wait=20ms slot_in=0s"}
	reply, err := msgpack.Marshal(placeReply{Assignment: a})
	if err != nil {
		t.Fatal(err)
	}
	update, err := msgpack.Marshal(stageUpdate{Cell: "model-name-70b@kyushu", Seq: r.ID.Seq, Stage: StageReleased})
	if err != nil {
		t.Fatal(err)
	}
	const maxBytes = 900
	sum := len(request) + len(reply) + 3*len(update)
	t.Logf("request %d B, reply %d B, update %d B, one placement %d B", len(request), len(reply), len(update), sum)
	if sum > maxBytes {
		t.Errorf("messages of one placement have %d bytes, want at most %d", sum, maxBytes)
	}
}

// Decoding arbitrary bytes as a peer message must not panic.
func FuzzPlaceMessage(f *testing.F) {
	good, _ := msgpack.Marshal(placeMessage{Cell: "c", Request: benchRequest(1)})
	f.Add(good)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var m placeMessage
		_ = msgpack.Unmarshal(raw, &m)
		var u updateMessage
		_ = msgpack.Unmarshal(raw, &u)
	})
}

// The cell must answer any request that another VM can send and remain consistent.
func TestCellAcceptsAnyRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newCellHarness(PolicyPredictive, testEndpoints(1, 2, 2))
		for seq := range uint64(8) {
			r := drawRequest(t, testID("v1", seq+1))
			r.PromptTokens = rapid.Int64().Draw(t, "prompt")
			r.MaxOutputTokens = rapid.Int64().Draw(t, "output")
			r.Weight = rapid.Int().Draw(t, "weight")
			r.FirstToken = drawDuration(t)
			r.Gap = drawDuration(t)
			r.Deadline = drawDuration(t)
			h.pending[r.ID] = r
			h.step(t, PlaceInput{Request: r})
			h.checkInvariants(t)
		}
		for id := range h.pending {
			h.step(t, CancelInput{ID: id})
			delete(h.pending, id)
		}
		h.finish(t)
	})
}

func drawDuration(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "duration")) }
