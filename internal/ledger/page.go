package ledger

import (
	"bytes"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// state is how far a commit has come.
type state uint8

const (
	// stateIntent: an attempt was or will be let run.
	stateIntent state = iota + 1
	// stateDone: the outcome is known.
	stateDone
	// stateAbandoned: the attempt surely never ran.
	stateAbandoned
)

// record is what a page keeps of one key.
type record struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Hash        []byte
	Fingerprint uint64
	State       state
	Nonce       string
	Outcome     Outcome
}

const (
	recordOverheadBytes = 64
	// recordsBytes is the room in a page for records without the bodies of their outcomes.
	recordsBytes = objectstore.MaxValueBytes * 4 / 10
	// bodiesBytes is the room in a page for bodies.
	bodiesBytes = objectstore.MaxValueBytes * 5 / 10
)

// bareSize bounds the encoded size of the record without the body of its outcome.
func (r record) bareSize() int {
	return recordOverheadBytes + len(r.Nonce) + MaxContentType
}

const pageFormat = 1

// storedPage is the value of a page's object.
type storedPage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format  uint8
	Window  int64
	Records records
}

// records decodes one by one, so that a false length in the input reserves no memory.
type records []record

var _ msgpack.CustomDecoder = (*records)(nil)

// DecodeMsgpack reads an array of records.
func (rs *records) DecodeMsgpack(d *msgpack.Decoder) error {
	n, err := d.DecodeArrayLen()
	if err != nil {
		return err
	}
	for range n {
		var r record
		if err := d.Decode(&r); err != nil {
			return err
		}
		*rs = append(*rs, r)
	}
	return nil
}

func encodePage(window int64, confirmed, staged map[keyHash]record) ([]byte, error) {
	all := maps.Clone(confirmed)
	maps.Copy(all, staged)
	p := storedPage{Format: pageFormat, Window: window, Records: slices.Collect(maps.Values(all))}
	slices.SortFunc(p.Records, func(a, b record) int { return bytes.Compare(a.Hash, b.Hash) })
	return msgpack.Marshal(&p)
}

func decodePage(raw []byte) (int64, map[keyHash]record, error) {
	var p storedPage
	if err := msgpack.Unmarshal(raw, &p); err != nil {
		return 0, nil, badPage(err.Error())
	}
	if p.Format != pageFormat {
		return 0, nil, badPage("unknown format")
	}
	records := make(map[keyHash]record, len(p.Records))
	for _, r := range p.Records {
		if err := r.check(); err != nil {
			return 0, nil, err
		}
		records[keyHash(r.Hash)] = r
	}
	if len(records) != len(p.Records) {
		return 0, nil, badPage("a key stands twice")
	}
	return p.Window, records, nil
}

func (r record) check() error {
	if len(r.Hash) != keyHashBytes {
		return badPage("key hash has a wrong length")
	}
	if r.State < stateIntent || r.State > stateAbandoned {
		return badPage("unknown state")
	}
	if len(r.Nonce) > MaxNonce || len(r.Outcome.Body) > MaxOutcomeBody || len(r.Outcome.ContentType) > MaxContentType {
		return badPage("a field is too long")
	}
	return nil
}

func badPage(why string) error {
	return fault.New(fault.Internal, "look at the object in the platform; the ledger does not overwrite it", "ledger page does not decode: "+why)
}
