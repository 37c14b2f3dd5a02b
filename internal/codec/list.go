package codec

import (
	"github.com/vmihailenco/msgpack/v5"
)

// List is a list whose elements are decoded apart: one that cannot be decoded, as it may come from another build, is left
// out and hides no other. It is encoded like a slice.
type List[T any] []T

var _ msgpack.CustomDecoder = (*List[struct{}])(nil)

// DecodeMsgpack implements msgpack.CustomDecoder.
func (l *List[T]) DecodeMsgpack(dec *msgpack.Decoder) error {
	*l = nil
	return DecodeElements(dec, func(element T, err error) {
		if err == nil {
			*l = append(*l, element)
		}
	})
}

// DecodeElements decodes a list and calls f with each element, or with the error of one that cannot be decoded. It fails
// if the input is no list.
func DecodeElements[T any](dec *msgpack.Decoder, f func(element T, err error)) error {
	n, err := dec.DecodeArrayLen()
	if err != nil {
		return err
	}
	var raw msgpack.RawMessage
	for range n {
		if err := dec.Decode(&raw); err != nil {
			return err
		}
		var element T
		f(element, Unmarshal(raw, &element))
	}
	return nil
}
