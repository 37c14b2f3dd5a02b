package placement

import (
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// The messages of one request placed at another VM stay within this many bytes, frames apart,
// so that the control traffic of a VM can be worked out from its request rate.
func TestMessagesOfOnePlacementAreSmall(t *testing.T) {
	r := benchRequest(1 << 40)
	r.Workspace, r.Model, r.ID.VM.Name = "workspace-123", "model-name-70b", "fukuoka-entry-17"
	ask, err := msgpack.Marshal(askMessage{Cell: "model-name-70b@kyushu", Request: r, Wait: firstPoll})
	if err != nil {
		t.Fatal(err)
	}
	a := Assignment{Prefill: "fukuoka-prefill-12", Decode: "kumamoto-decode-31", Reason: "first_token=123ms prefill_wait=20ms slot_in=0s"}
	reply, err := msgpack.Marshal(askReply{Assignment: a})
	if err != nil {
		t.Fatal(err)
	}
	u, err := msgpack.Marshal(stageUpdate{Cell: "model-name-70b@kyushu", Seq: r.ID.Seq, Stage: StageReleased})
	if err != nil {
		t.Fatal(err)
	}
	const most = 900
	sum := len(ask) + len(reply) + 3*len(u)
	t.Logf("ask %d B, reply %d B, update %d B, one placement %d B", len(ask), len(reply), len(u), sum)
	if sum > most {
		t.Errorf("one placement takes %d bytes, want at most %d", sum, most)
	}
}

// A decoder of peer messages takes any bytes without a panic.
func FuzzAskMessage(f *testing.F) {
	good, _ := msgpack.Marshal(askMessage{Cell: "c", Request: benchRequest(1)})
	f.Add(good)
	f.Fuzz(func(_ *testing.T, raw []byte) {
		var m askMessage
		_ = msgpack.Unmarshal(raw, &m)
		var u updateMessage
		_ = msgpack.Unmarshal(raw, &u)
	})
}

// Whatever another VM sends in a request, the cell answers it and stays consistent.
func TestCellTakesAnyRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCellModel(PolicyPredictive, testEndpoints(1, 2, 2))
		for seq := range uint64(8) {
			r := drawRequest(t, testID("v1", seq+1))
			r.PromptTokens = rapid.Int64().Draw(t, "prompt")
			r.MaxOutputTokens = rapid.Int64().Draw(t, "output")
			r.Weight = rapid.Int().Draw(t, "weight")
			r.FirstToken = drawDuration(t)
			r.Gap = drawDuration(t)
			r.Deadline = drawDuration(t)
			m.open[r.ID] = r
			m.step(t, PlaceInput{Request: r})
			m.check(t)
		}
		for id := range m.open {
			m.step(t, CancelInput{ID: id})
			delete(m.open, id)
		}
		m.finish(t)
	})
}

func drawDuration(t *rapid.T) time.Duration { return time.Duration(rapid.Int64().Draw(t, "duration")) }
