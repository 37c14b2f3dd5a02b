package ledger

import (
	"bytes"
	"maps"
	"slices"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// state is the state of a commit.
type state uint8

const (
	// stateIntent means that an attempt was allowed to run, or will be.
	stateIntent state = iota + 1
	// stateDone means that the outcome is known.
	stateDone
	// stateAbandoned means that the attempt definitely did not run.
	stateAbandoned
)

// record is the stored state of one key.
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
	// maxRecordBytes is the maximum total size of the records of a page, excluding response bodies.
	maxRecordBytes = objectstore.MaxValueBytes * 4 / 10
	// maxBodyBytes is the maximum total size of the response bodies of a page.
	maxBodyBytes = objectstore.MaxValueBytes * 5 / 10
)

// sizeWithoutBody returns an upper bound of the encoded size, excluding the response body.
func (r record) sizeWithoutBody() int {
	return recordOverheadBytes + len(r.Nonce) + MaxContentType
}

const pageFormat = 1

// storedPage is the encoded form of a page.
type storedPage struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Format  uint8
	Window  int64
	Records recordList
}

// recordList decodes records one at a time, so that a corrupt array length does not cause a large
// allocation.
type recordList []record

var _ msgpack.CustomDecoder = (*recordList)(nil)

// DecodeMsgpack decodes an array of records.
func (rs *recordList) DecodeMsgpack(d *msgpack.Decoder) error {
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
	if err := codec.Unmarshal(raw, &p); err != nil {
		return 0, nil, corruptPage(err.Error())
	}
	if p.Format != pageFormat {
		return 0, nil, corruptPage("unknown format")
	}
	records := make(map[keyHash]record, len(p.Records))
	for _, r := range p.Records {
		if err := r.check(); err != nil {
			return 0, nil, err
		}
		records[keyHash(r.Hash)] = r
	}
	if len(records) != len(p.Records) {
		return 0, nil, corruptPage("duplicate key")
	}
	return p.Window, records, nil
}

func (r record) check() error {
	if len(r.Hash) != keyHashBytes {
		return corruptPage("invalid key hash length")
	}
	if r.State < stateIntent || r.State > stateAbandoned {
		return corruptPage("invalid state")
	}
	if len(r.Nonce) > MaxNonce || len(r.Outcome.Body) > MaxOutcomeBody || len(r.Outcome.ContentType) > MaxContentType {
		return corruptPage("field too long")
	}
	return nil
}

func corruptPage(reason string) error {
	return fault.New(fault.Internal, "inspect the object in the platform; the ledger does not overwrite it", "cannot decode ledger page: "+reason)
}
