package replication

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// MaxTableBytes is the maximum size of an encoded table before compression.
const MaxTableBytes = 4 << 20

const remedySameRelease = "run the same release on all VMs"

// EncodeDelta returns the encoding of a delta for the wire.
func EncodeDelta(d Delta) ([]byte, error) {
	raw, err := msgpack.Marshal(&d)
	return raw, fault.Wrap(err, fault.Internal, "report this", "encode delta")
}

// DecodeDelta decodes and validates a delta.
func DecodeDelta(raw []byte) (Delta, error) {
	var d Delta
	if err := codec.Unmarshal(raw, &d); err != nil {
		return Delta{}, fault.Wrap(err, fault.Malformed, remedySameRelease, "decode delta")
	}
	if d.Version <= d.Base {
		return Delta{}, fault.New(fault.Malformed, remedySameRelease, "delta does not increase the version")
	}
	return d, nil
}

type wireTable struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Version uint64
	Entries map[string]string
}

// EncodeTable returns the compressed encoding of a whole table for the wire.
func EncodeTable(t *Table) ([]byte, error) {
	raw, err := msgpack.Marshal(&wireTable{Version: t.Version, Entries: t.Entries})
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "encode table")
	}
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "compress table")
	}
	if _, err := w.Write(raw); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "compress table")
	}
	if err := w.Close(); err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "compress table")
	}
	return out.Bytes(), nil
}

// DecodeTable decodes a whole table and computes its checksum.
func DecodeTable(raw []byte) (*Table, error) {
	r := flate.NewReader(bytes.NewReader(raw))
	plain, err := io.ReadAll(io.LimitReader(r, MaxTableBytes+1))
	if err != nil {
		return nil, fault.Wrap(err, fault.Malformed, remedySameRelease, "decompress table")
	}
	if len(plain) > MaxTableBytes {
		return nil, fault.New(fault.TooLarge, "remove unused objects", "table exceeds the size limit")
	}
	var w wireTable
	if err := codec.Unmarshal(plain, &w); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, remedySameRelease, "decode table")
	}
	return NewTable(w.Version, w.Entries), nil
}
