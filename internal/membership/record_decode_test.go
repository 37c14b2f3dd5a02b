package membership

import (
	"bytes"
	"net/netip"
	"testing"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// TestRefusedRecordHidesNoOther guards against members that are not heard of because the record of another one cannot be read.
func TestRefusedRecordHidesNoOther(t *testing.T) {
	sent := Message{Op: OpUpdate}
	for _, name := range []string{"vm-a", "vm-odd", "vm-z"} {
		sent.Records = append(sent.Records, Record{VM: ident.VM{Name: name}, PeerAddress: netip.MustParseAddrPort("127.0.0.1:1")})
	}
	raw, err := msgpack.Marshal(&sent)
	if err != nil {
		t.Fatal(err)
	}
	raw = bytes.Replace(raw, []byte("\xa6vm-odd"), []byte("\xc3"), 1) // a boolean in place of the name
	var got Message
	if err := codec.Unmarshal(raw, &got); err != nil || len(got.Records) != 2 || got.Records[0].VM.Name != "vm-a" || got.Records[1].VM.Name != "vm-z" {
		t.Errorf("records %+v, error %v", got.Records, err)
	}
}
