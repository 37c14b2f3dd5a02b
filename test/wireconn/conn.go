// Package wireconn is a caller's connection on which tests see when each byte and the end came.
package wireconn

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

const (
	dialTimeout  = time.Second
	readBytes    = 4 << 10
	unreadChunks = 64
)

// Conn is a caller's connection.
type Conn struct {
	conn   net.Conn
	in     *bufio.Reader
	chunks chan chunk
	done   chan struct{}
	// unread is the rest of the last chunk. until bounds reads.
	unread []byte
	until  time.Time
	// firstByteAt, endedAt and end are as in Exchange.
	firstByteAt, endedAt time.Time
	end                  string
}

// chunk is what one read returned.
type chunk struct {
	at    time.Time
	bytes []byte
	err   error
}

// Dial opens a connection.
func Dial(address string) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return nil, err
	}
	c := &Conn{conn: nc, chunks: make(chan chunk, unreadChunks), done: make(chan struct{})}
	c.in = bufio.NewReader(c)
	go c.watch()
	return c, nil
}

// watch reads until the connection ends, so that the times of bytes and of the end do not depend on its user.
func (c *Conn) watch() {
	for {
		buf := make([]byte, readBytes)
		n, err := c.conn.Read(buf)
		select {
		case c.chunks <- chunk{time.Now(), buf[:n], err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Close closes the connection.
func (c *Conn) Close() {
	close(c.done)
	_ = c.conn.Close()
}

// LocalAddr returns the address of the caller.
func (c *Conn) LocalAddr() net.Addr { return c.conn.LocalAddr() }

// Unread returns bytes that came although no request was waiting for an answer.
func (c *Conn) Unread() []byte { return c.unread }

func (c *Conn) take(got chunk) {
	if len(got.bytes) > 0 && c.firstByteAt.IsZero() {
		c.firstByteAt = got.at
	}
	c.unread = got.bytes
	if got.err != nil {
		c.endedAt, c.end = got.at, "error: "+got.err.Error()
		switch {
		case errors.Is(got.err, io.EOF):
			c.end = "EOF"
		case errors.Is(got.err, syscall.ECONNRESET):
			c.end = "RST"
		}
	}
}

// Read implements io.Reader.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		if c.end == "EOF" {
			return 0, io.EOF
		}
		if c.end != "" {
			return 0, errors.New(c.end)
		}
		select {
		case got := <-c.chunks:
			c.take(got)
		case <-time.After(time.Until(c.until)):
			return 0, os.ErrDeadlineExceeded
		}
	}
	n := copy(p, c.unread)
	c.unread = c.unread[n:]
	return n, nil
}

// Rest waits for d and reports whether neither bytes came nor the connection ended meanwhile.
func (c *Conn) Rest(ctx context.Context, d time.Duration) bool {
	waited := make(chan struct{})
	timer := time.AfterFunc(d, func() { close(waited) })
	defer timer.Stop()
	return c.RestUntil(ctx, waited)
}

// RestUntil waits until notice is closed and reports whether neither bytes came nor the connection ended meanwhile.
func (c *Conn) RestUntil(ctx context.Context, notice <-chan struct{}) bool {
	select {
	case <-notice:
		return true
	case <-ctx.Done():
		return false
	case got := <-c.chunks:
		c.take(got)
		return false
	}
}

// Shape is the way in which a request is written.
type Shape int

// The shapes.
const (
	InOnePiece Shape = iota
	InTwoHalves
	BodyAfterHeader
	Shapes // the number of shapes
)

// String implements fmt.Stringer.
func (s Shape) String() string {
	return [...]string{"in one piece", "in two halves", "body after its header"}[s]
}

// split cuts a request into the parts that are written apart.
func (s Shape) split(raw []byte) [][]byte {
	header := bytes.Index(raw, []byte("\r\n\r\n")) + len("\r\n\r\n")
	switch {
	case s == InTwoHalves:
		return [][]byte{raw[:header/2], raw[header/2:]}
	case s == BodyAfterHeader && header < len(raw):
		return [][]byte{raw[:header], raw[header:]}
	}
	return [][]byte{raw}
}

// Exchange is a request and what was seen of its answer.
type Exchange struct {
	Request *http.Request
	Shape   Shape
	// Pause is the time between two parts of the request, and Until the time at which the caller stops to wait.
	Pause time.Duration
	Until time.Time
	// LastByteAt is when the last byte of the request had been written, zero if it was not. FirstByteAt is when the first byte of the
	// answer came, and EndedAt when the connection ended: End is then "EOF", "RST" or an error.
	LastByteAt, FirstByteAt, EndedAt time.Time
	End                              string
	// Whole is set if a complete HTTP response came.
	Whole bool
}

// Do writes the request of an exchange and passes its answer to read, which reports whether it is complete. It reports whether the
// connection may be used again.
func (c *Conn) Do(x *Exchange, read func(*http.Response) bool) bool {
	var raw bytes.Buffer
	_ = x.Request.Write(&raw) // a buffer takes all
	c.firstByteAt, c.until = time.Time{}, x.Until
	if c.write(x.Shape.split(raw.Bytes()), x.Pause) {
		x.LastByteAt = time.Now()
	}
	resp, err := http.ReadResponse(c.in, x.Request)
	x.Whole = err == nil && read(resp)
	x.FirstByteAt, x.EndedAt, x.End = c.firstByteAt, c.endedAt, c.end
	return !x.LastByteAt.IsZero() && x.Whole && !resp.Close && c.end == ""
}

// write writes the parts of a request. It reports whether all were written before an answer or the end came.
func (c *Conn) write(parts [][]byte, pause time.Duration) bool {
	for i, part := range parts {
		if i > 0 && !c.Rest(context.Background(), pause) {
			return false
		}
		if _, err := c.conn.Write(part); err != nil {
			return false
		}
	}
	return true
}
