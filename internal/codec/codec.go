// Package codec decodes msgpack messages and documents that come from other processes.
package codec

import (
	"bytes"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Unmarshal decodes raw into v. It first scans the whole input, because the msgpack library allocates memory for whatever length a
// list claims, and calls itself for each level of nesting.
func Unmarshal(raw []byte, v any) error {
	_, err := UnmarshalFirst(raw, v)
	return err
}

// UnmarshalFirst is like Unmarshal, and returns what follows the first value.
func UnmarshalFirst(raw []byte, v any) (rest []byte, err error) {
	s, err := scan(raw)
	if err != nil {
		return nil, fmt.Errorf("message is truncated or malformed: %w", err)
	}
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(bytes.NewReader(raw))
	return raw[s.size:], dec.Decode(v)
}
