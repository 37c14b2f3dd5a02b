// Package forward sends requests to endpoints through other VMs, for a VM that has lost its own network path to them.
// The VM that received the call keeps all decisions about it; the other one only makes the connection. A request is
// forwarded once at most: a VM never sends on through a third one what it got from another.
//
// Each request has a stream of its own between the two VMs: a header and the body in one direction, the outcome and the
// body of the response in the other. Closing the stream cancels the request.
package forward

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/vmihailenco/msgpack/v5"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

const (
	lengthBytes = 4
	// maxHeaderBytes is the maximum size of a header or an outcome.
	maxHeaderBytes = 256 << 10
	// maxBodyBytes is the maximum size of the body of a request.
	maxBodyBytes = 8 << 20
	// maxChunkBytes is the maximum size of a piece of a response's body.
	maxChunkBytes = 16 << 10
	// endOfBody and brokenBody are sent in place of the length of a piece: after the last one, and if the endpoint broke
	// its response off.
	endOfBody  = 0
	brokenBody = 1<<32 - 1
)

// requestHeader is the first message of a stream. The body follows it.
type requestHeader struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// ID names the request in the logs of both VMs.
	ID                string
	Endpoint          traffic.EndpointID
	Method, URI, Host string
	Header            map[string][]string
	// Permit is set if the sending VM has used a permit of the endpoint's rate limit for the request.
	Permit bool
	// HasBody distinguishes an empty body from none. BodyBytes is its size.
	HasBody   bool
	BodyBytes int
}

// outcome is the reply to a request. If Error is empty, the body of the response follows.
type outcome struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Error says why there is no response. Sent is set if any byte of the request may have reached the endpoint.
	Error string
	Sent  bool

	// Status is statusHeldBack beside an Error if the other VM held the request back. VMs of former builds do not read it then.
	Status int
	Header map[string][]string
	Length int64
	// Delimited is set if the endpoint marks the end of the body, or if this VM checks the end.
	Delimited bool
	// Lifetime is that of the endpoint to which the connection of this VM leads, 0 if it is not known, or from a VM of a former build.
	Lifetime int64
}

// statusHeldBack says that a request was held back, which says nothing about the path to the endpoint.
const statusHeldBack = http.StatusMisdirectedRequest

// failedOutcome returns the reply to a request without a response.
func failedOutcome(err error) *outcome {
	o := &outcome{Error: err.Error(), Sent: connpool.MayHaveSent(err)}
	if errors.Is(err, backend.ErrHeldBack) {
		o.Status = statusHeldBack
	}
	return o
}

// failure returns why there is no response, nil if there is one.
func (o *outcome) failure() error {
	switch {
	case o.Error == "":
		return nil
	case o.Status == statusHeldBack:
		return fmt.Errorf("%w: %s", backend.ErrHeldBack, o.Error)
	}
	return errors.New(o.Error)
}

var (
	errTooLarge = fault.New(fault.TooLarge, "run the same release on all VMs", "a message from another VM exceeds the maximum size")
	errBroken   = fmt.Errorf("the endpoint broke off its response to another VM: %w", io.ErrUnexpectedEOF)
)

func writeMessage(w io.Writer, v any) error {
	raw, err := msgpack.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode message: %w", err)
	}
	if len(raw) > maxHeaderBytes {
		return errTooLarge
	}
	_, err = w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(raw))), raw...))
	return err
}

func readMessage(r io.Reader, v any) error {
	n, err := readLength(r)
	if err != nil {
		return err
	}
	if n > maxHeaderBytes {
		return errTooLarge
	}
	raw := make([]byte, n)
	if _, err := io.ReadFull(r, raw); err != nil {
		return err
	}
	return codec.Unmarshal(raw, v)
}

func readLength(r io.Reader) (uint32, error) {
	var head [lengthBytes]byte
	_, err := io.ReadFull(r, head[:])
	return binary.BigEndian.Uint32(head[:]), err
}

// writeBody writes a response's body in pieces, as they arrive, and how it ended.
func writeBody(w io.Writer, body io.Reader) error {
	buf := make([]byte, lengthBytes+maxChunkBytes)
	for {
		n, readErr := body.Read(buf[lengthBytes:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, err := w.Write(buf[:lengthBytes+n]); err != nil {
				return err
			}
		}
		if readErr != nil {
			end := uint32(brokenBody)
			if errors.Is(readErr, io.EOF) {
				end, readErr = endOfBody, nil
			}
			_, err := w.Write(binary.BigEndian.AppendUint32(nil, end))
			return errors.Join(readErr, err)
		}
	}
}

// bodyReader reads a response's body. It returns io.EOF only at the end of a complete one.
type bodyReader struct {
	r io.Reader
	// left is what is left of the current piece.
	left uint32
	err  error
}

// Read implements io.Reader.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.err == nil && b.left == 0 {
		b.err = b.next()
	}
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.r.Read(p[:min(len(p), int(b.left))])
	b.left -= uint32(n)
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	b.err = err
	if n > 0 {
		return n, nil
	}
	return n, err
}

// next reads the length of the next piece.
func (b *bodyReader) next() error {
	n, err := readLength(b.r)
	switch {
	case errors.Is(err, io.EOF):
		return io.ErrUnexpectedEOF
	case err != nil:
		return err
	case n == endOfBody:
		return io.EOF
	case n == brokenBody:
		return errBroken
	case n > maxChunkBytes:
		return errTooLarge
	}
	b.left = n
	return nil
}
