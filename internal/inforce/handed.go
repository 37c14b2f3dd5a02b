package inforce

import (
	"bytes"
	"compress/flate"
	"io"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// packed is a document as it is handed to other VMs: many ask for the same version at once, over
// links that may be slow.
type packed struct {
	version uint64
	body    []byte
}

// maxDocument bounds a document of another VM, unpacked.
const maxDocument = 64 << 20

// Body gives a document for another VM, and its version, 0 for none.
func (k *Keeper) Body(document int) (uint64, []byte, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	version := k.versions()[document]
	p := &k.packed[document]
	if version == 0 || p.version == version && !k.kept {
		return version, p.body, nil
	}
	raw := k.raw
	if document == DocumentEndpoints {
		var err error
		if raw, err = msgpack.Marshal(&k.endpoints); err != nil {
			return 0, nil, fault.Wrap(err, fault.Internal, "report this", "encode the table of endpoints")
		}
	}
	body, err := pack(raw)
	if err != nil {
		return 0, nil, fault.Wrap(err, fault.Internal, "report this", "pack a document")
	}
	*p = packed{version: version, body: body}
	return version, body, nil
}

func pack(raw []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

func unpack(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	raw, err := io.ReadAll(io.LimitReader(r, maxDocument+1))
	if err == nil && len(raw) > maxDocument {
		err = errTooLong
	}
	return raw, fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "unpack a document")
}

var errTooLong = fault.New(fault.TooLarge, "write a smaller configuration", "the document is too long")

// Offer takes a document that another VM has. age is the time since the store is known to have
// held the table of endpoints.
func (k *Keeper) Offer(document int, body []byte, age time.Duration, from string) error {
	raw, err := unpack(body)
	if err != nil {
		return err
	}
	if document == DocumentConfiguration {
		return k.OfferConfiguration(raw, from)
	}
	var e traffic.Endpoints
	if err := msgpack.Unmarshal(raw, &e); err != nil {
		return fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode the table of endpoints")
	}
	k.OfferEndpoints(e, k.opts.Clock.Now().Add(-age), from)
	return nil
}
