package ledger

import (
	"encoding/binary"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

func drawRecord(t *rapid.T) record {
	hash := make([]byte, keyHashBytes)
	binary.BigEndian.PutUint64(hash, rapid.Uint64().Draw(t, "hash"))
	return record{
		Hash:        hash,
		Fingerprint: rapid.Uint64().Draw(t, "fingerprint"),
		State:       state(rapid.IntRange(1, 3).Draw(t, "state")),
		Nonce:       rapid.StringN(1, -1, MaxNonce).Draw(t, "nonce"),
		Outcome: Outcome{
			Status:      rapid.IntRange(100, 599).Draw(t, "status"),
			ContentType: rapid.StringN(0, -1, MaxContentType).Draw(t, "type"),
			Body:        rapid.SliceOfN(rapid.Byte(), 1, MaxOutcomeBody).Draw(t, "body"),
			Truncated:   rapid.Bool().Draw(t, "truncated"),
		},
	}
}

func TestPageRoundTripWithinSizeEstimate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		window := rapid.Int64().Draw(t, "window")
		records := map[keyHash]record{}
		estimate := recordOverheadBytes
		for range rapid.IntRange(0, 20).Draw(t, "n") {
			r := drawRecord(t)
			records[keyHash(r.Hash)] = r
		}
		for _, r := range records {
			estimate += r.sizeWithoutBody() + len(r.Outcome.Body)
		}
		raw, err := encodePage(window, records, nil)
		if err != nil || len(raw) > estimate {
			t.Fatalf("encoded to %d bytes, estimated at most %d, error %v", len(raw), estimate, err)
		}
		w, got, err := decodePage(raw)
		if err != nil || w != window || !maps.EqualFunc(got, records, func(a, b record) bool { return reflect.DeepEqual(a, b) }) {
			t.Fatalf("decoded window %d, error %v, records %v, want %v", w, err, got, records)
		}
	})
}

func FuzzDecodePage(f *testing.F) {
	hash := make([]byte, keyHashBytes)
	r := record{Hash: hash, Fingerprint: 1, State: stateDone, Nonce: "n", Outcome: Outcome{Status: 200, Body: []byte("x")}}
	raw, err := encodePage(3, map[keyHash]record{keyHash(hash): r}, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(raw)
	f.Add([]byte{})
	f.Add([]byte{0x93, 1, 3, 0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		window, records, err := decodePage(raw)
		if err != nil {
			return
		}
		again, err := encodePage(window, records, nil)
		if err != nil {
			t.Fatal(err)
		}
		w, back, err := decodePage(again)
		if err != nil || w != window || len(back) != len(records) {
			t.Fatalf("round trip: error %v, got %d records, want %d", err, len(back), len(records))
		}
	})
}
