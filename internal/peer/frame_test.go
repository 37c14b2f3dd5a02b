package peer

import (
	"bytes"
	"reflect"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/ident"
)

func FuzzFrame(f *testing.F) {
	body, err := msgpack.Marshal(&frame{Type: frameCall, Kind: KindPlace, ID: 7, From: &ident.VM{Name: "vm"}, Body: msgpack.RawMessage{nilByte}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(body)
	f.Add([]byte{0xdd, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		got, err := decodeFrame(raw)
		if err != nil {
			return
		}
		out, err := encodeFrame(got)
		if err != nil {
			t.Fatal(err)
		}
		reread, _, err := readFrame(bytes.NewReader(out), MaxFrameBytes)
		if err != nil || reread.Type != got.Type || reread.ID != got.ID || !reflect.DeepEqual(reread.From, got.From) {
			t.Fatalf("round trip of %+v returned %+v, %v", got, reread, err)
		}
	})
}
