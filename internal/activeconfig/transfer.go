package activeconfig

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// encodedDocument caches the compressed form of a document. Many VMs request the same version at
// the same time, possibly over slow links.
type encodedDocument struct {
	version traffic.DocumentVersion
	body    []byte
}

// maxDocumentSize bounds the decompressed size of a document from another VM.
const maxDocumentSize = 64 << 20

// Encode returns a document encoded for another VM, and its version, number 0 for none.
func (s *State) Encode(document int) (traffic.DocumentVersion, []byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	version := s.versions()[document]
	cached := &s.encoded[document]
	// While endpoints are retained, the table may change without its version, so it is encoded again. So it is with the
	// time that is left to evacuations that a restored store has lost.
	if version.Number == 0 || cached.version == version && !s.hasRetained && len(s.evacuations.lost) == 0 {
		return version, cached.body, nil
	}
	raw := s.raw
	if document == DocumentEndpoints {
		var err error
		s.endpoints.EvacuationsLostFor = s.evacuations.lostFor(s.opts.Clock.Now())
		if raw, err = msgpack.Marshal(&s.endpoints); err != nil {
			return version, nil, fault.Wrap(err, fault.Internal, "report this", "encode the endpoint table")
		}
	}
	body, err := compress(raw)
	if err != nil {
		return version, nil, fault.Wrap(err, fault.Internal, "report this", "compress a document")
	}
	*cached = encodedDocument{version: version, body: body}
	return version, body, nil
}

func compress(raw []byte) ([]byte, error) {
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

func decompress(body []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(body))
	raw, err := io.ReadAll(io.LimitReader(r, maxDocumentSize+1))
	if err == nil && len(raw) > maxDocumentSize {
		err = errDocumentTooLarge
	}
	return raw, fault.Wrap(err, fault.Malformed, "run the same release on all VMs, or reduce the document if it is too large", "decompress a document")
}

var errDocumentTooLarge = fault.New(fault.TooLarge, "reduce the configuration or the number of endpoints", "the document exceeds the size limit")

// Apply applies a document of the given era from another VM. The store is known to have held the endpoint table that the
// other VM has at asOf.
func (s *State) Apply(document int, era uint64, body []byte, asOf clock.Instant, from string) error {
	raw, err := decompress(body)
	if err != nil {
		return err
	}
	if document == DocumentConfiguration {
		return s.ApplyConfiguration(raw, era, from)
	}
	var e traffic.Endpoints
	if err := codec.Unmarshal(raw, &e); err != nil {
		return fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode the endpoint table")
	}
	s.ApplyEndpoints(e, asOf, from)
	return nil
}
