package codec

import (
	"bytes"
	"testing"

	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// Guards against a stack that grows with the levels of nesting that a message claims.
func TestDeeplyNestedMessageIsRejected(t *testing.T) {
	var v any
	if err := Unmarshal(bytes.Repeat([]byte{0x91}, 4<<20), &v); err == nil {
		t.Error("a message of four million levels was accepted")
	}
}

// Guards against a scan that ends elsewhere than the library's.
func TestScanEndsWhereTheLibraryDoes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		raw := rapid.SliceOfN(rapid.OneOf(rapid.Byte(), rapid.ByteRange(0xc0, 0xdf), rapid.ByteRange(0x80, 0x93)), 0, 40).Draw(t, "raw")
		r := bytes.NewReader(raw)
		skipErr := msgpack.NewDecoder(r).Skip()
		s, err := scan(raw)
		if (err == nil) != (skipErr == nil) || err == nil && s.size != len(raw)-r.Len() {
			t.Fatalf("% x: %d bytes, error %v; the library skips %d, error %v", raw, s.size, err, len(raw)-r.Len(), skipErr)
		}
	})
}

// Guards against an estimate that is far below the memory of a decoded list of empty elements.
func TestEmptyElementsCountAsStructures(t *testing.T) {
	raw := append([]byte("\xdc\x10\x00"), bytes.Repeat([]byte{0x80}, 1<<12)...)
	if got := DecodedBytes(raw); got < 1<<12*emptyCost {
		t.Errorf("%d bytes estimated for 4096 empty elements", got)
	}
}
