package limiter

import "github.com/vmihailenco/msgpack/v5"

// The messages of the request path encode integers in as few bytes as possible.
type (
	plainRequest    ReserveRequest
	plainReply      ReserveReply
	plainSettlement Settlement
	plainItem       ReclaimItem
)

func compact(enc *msgpack.Encoder, v any) error {
	enc.UseCompactInts(true)
	return enc.Encode(v)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *ReserveRequest) EncodeMsgpack(enc *msgpack.Encoder) error {
	return compact(enc, (*plainRequest)(r))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (r *ReserveReply) EncodeMsgpack(enc *msgpack.Encoder) error {
	return compact(enc, (*plainReply)(r))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (s *Settlement) EncodeMsgpack(enc *msgpack.Encoder) error {
	return compact(enc, (*plainSettlement)(s))
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (i *ReclaimItem) EncodeMsgpack(enc *msgpack.Encoder) error {
	return compact(enc, (*plainItem)(i))
}
