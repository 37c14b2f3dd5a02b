package statesync

import (
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// What was added to a message later follows it as further values: the codec of former builds rejects arrays of another length
// than its own, and ignores what follows a message. A heartbeat is followed by its paces and its reading, an update by its
// paces and a digest by its reading. Values at the end are left out if they are empty.

// plainHeartbeat, plainUpdate and plainDigest are the messages without what follows them.
type (
	plainHeartbeat heartbeat
	plainUpdate    update
	plainDigest    digest
)

var (
	_ msgpack.CustomEncoder = (*heartbeat)(nil)
	_ msgpack.CustomDecoder = (*heartbeat)(nil)
	_ msgpack.CustomEncoder = (*update)(nil)
	_ msgpack.CustomDecoder = (*update)(nil)
	_ msgpack.CustomEncoder = (*digest)(nil)
	_ msgpack.CustomDecoder = (*digest)(nil)
	_ msgpack.CustomDecoder = (*endpointWorks)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder.
func (hb *heartbeat) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := []any{(*plainHeartbeat)(hb)}
	if paces := pacesOf(hb.Work); len(paces) > 0 || !hb.Reading.IsZero() {
		values = append(values, paces)
	}
	if !hb.Reading.IsZero() {
		values = append(values, &hb.Reading)
	}
	return enc.EncodeMulti(values...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (hb *heartbeat) DecodeMsgpack(dec *msgpack.Decoder) error {
	if err := dec.Decode((*plainHeartbeat)(hb)); err != nil {
		return err
	}
	var paces []endpointPace
	decodeTrailer(dec, &paces, &hb.Reading)
	setPaces(hb.Work, paces)
	hb.Work = hb.Work.readable()
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (m *update) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := []any{(*plainUpdate)(m)}
	if paces := pacesOf(m.Work); len(paces) > 0 {
		values = append(values, paces)
	}
	return enc.EncodeMulti(values...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (m *update) DecodeMsgpack(dec *msgpack.Decoder) error {
	if err := dec.Decode((*plainUpdate)(m)); err != nil {
		return err
	}
	var paces []endpointPace
	decodeTrailer(dec, &paces)
	setPaces(m.Work, paces)
	m.Work = m.Work.readable()
	return nil
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (d *digest) EncodeMsgpack(enc *msgpack.Encoder) error {
	values := []any{(*plainDigest)(d)}
	if !d.Reading.IsZero() {
		values = append(values, &d.Reading)
	}
	return enc.EncodeMulti(values...)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (d *digest) DecodeMsgpack(dec *msgpack.Decoder) error {
	if err := dec.Decode((*plainDigest)(d)); err != nil {
		return err
	}
	decodeTrailer(dec, &d.Reading)
	return nil
}

// decodeTrailer decodes the values that follow a message, as far as they are there. It ends at one that is malformed.
func decodeTrailer(dec *msgpack.Decoder, values ...any) {
	rest, err := io.ReadAll(dec.Buffered())
	for i := 0; i < len(values) && err == nil && len(rest) > 0; i++ {
		rest, err = codec.UnmarshalFirst(rest, values[i])
	}
}

// setFreshness says as of when the store is known to have held the sender's documents.
func (hb *heartbeat) setFreshness(f traffic.Freshness) {
	hb.Versions, hb.Reading, hb.Age = f.Versions, f.Reading, f.Age
}
