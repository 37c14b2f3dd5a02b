package peer

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// MaxFrameBytes is the maximum size of a frame. A connection that receives a larger one is closed.
const MaxFrameBytes = 4 << 20

const lengthBytes = 4

type frameType uint8

const (
	frameHello frameType = iota + 1
	frameCall
	frameReply
	frameOneWay
	frameCancel
	framePing
	framePong
	frameStream
)

// frame is the unit of transmission: a 4-byte big-endian length followed by this struct as a
// msgpack array.
type frame struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Type frameType
	Kind Kind
	ID   uint64
	// TimeoutMillis is the time left until the caller's deadline, 0 if it has none.
	TimeoutMillis uint32
	// From is set only in the first frame of a connection.
	From  *ident.VM
	Fault *fault.Detail
	// Body is the message and the values that follow it; former builds read the message only.
	Body msgpack.RawMessage

	// held is the memory that a received frame or a queued reply has taken.
	held int
	// encoded is the encoded frame if it is sent on several connections.
	encoded []byte
}

func encodeFrame(f *frame) ([]byte, error) {
	if f.encoded != nil {
		return f.encoded, nil
	}
	if f.Body == nil {
		f.Body = msgpack.RawMessage{nilByte}
	}
	body, err := marshal(f)
	if err != nil {
		return nil, fmt.Errorf("encode frame: %w", err)
	}
	if len(body) > MaxFrameBytes {
		return nil, fault.New(fault.TooLarge, "split the message into smaller ones", "frame exceeds the size limit")
	}
	out := make([]byte, lengthBytes+len(body))
	binary.BigEndian.PutUint32(out, uint32(len(body)))
	copy(out[lengthBytes:], body)
	return out, nil
}

const nilByte = 0xc0

// readFrame reads a frame of at most maxBytes.
func readFrame(r io.Reader, maxBytes int) (*frame, int, error) {
	n, err := readLength(r, maxBytes)
	if err != nil {
		return nil, 0, err
	}
	body := make([]byte, n)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, 0, err
	}
	f, err := decodeFrame(body)
	return f, n + lengthBytes, err
}

// readLength reads the length of a frame of at most maxBytes.
func readLength(r io.Reader, maxBytes int) (int, error) {
	var head [lengthBytes]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return 0, err
	}
	n := binary.BigEndian.Uint32(head[:])
	if n > uint32(maxBytes) {
		return 0, fmt.Errorf("frame of %d bytes exceeds the limit of %d", n, maxBytes)
	}
	return int(n), nil
}

func decodeFrame(body []byte) (*frame, error) {
	var f frame
	rest, err := codec.UnmarshalFirst(body, &f)
	if err != nil {
		return nil, fmt.Errorf("decode frame: %w", err)
	}
	// The body is the last element of the frame, and holds one value. Those that follow it follow the frame.
	f.Body = append(f.Body, rest...)
	return &f, nil
}

// marshal encodes v with the most compact form of each integer.
func marshal(v any) ([]byte, error) {
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	var buf bytes.Buffer
	enc.Reset(&buf)
	enc.UseCompactInts(true)
	if err := enc.Encode(v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}
