package connpool

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"
)

// End describes the end of a body that neither a length nor chunks delimit.
type End struct {
	// SentAt is when the request was sent, Opened when its connection was open, zero if that is another VM's.
	SentAt, Opened time.Time
	// Lifetime is that of the endpoint to which the connection leads, 0 if it is not known.
	Lifetime int64
	// Bytes is the length of the body.
	Bytes  int64
	Status int
	Header http.Header
}

// EndCheckedReader reads a body that ends with its connection. Its Read returns io.EOF only if the check of the end succeeds.
type EndCheckedReader struct {
	body  io.Reader
	ctx   context.Context
	check func(context.Context, End) error
	end   End
	// err is the result of the check, nil before.
	err error
}

// NewEndCheckedReader returns a reader of the body that follows the header of a response. The check gets ctx and end with the
// body's length.
func NewEndCheckedReader(ctx context.Context, body io.Reader, end End, check func(context.Context, End) error) *EndCheckedReader {
	return &EndCheckedReader{body: body, ctx: ctx, check: check, end: end}
}

// Read implements io.Reader. What precedes the end is returned before the check.
func (r *EndCheckedReader) Read(p []byte) (int, error) {
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.body.Read(p)
	r.end.Bytes += int64(n)
	switch {
	case !errors.Is(err, io.EOF):
		return n, err
	case n > 0:
		return n, nil
	}
	if r.err = r.check(r.ctx, r.end); r.err == nil {
		r.err = io.EOF
	}
	return 0, r.err
}
