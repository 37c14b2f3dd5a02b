package callerconn

import (
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/connbudget"
)

const (
	// tlsConnBytes is what TLS adds to what a connection holds: its state and two records.
	tlsConnBytes = 24 << 10
	// http2ConnBytes is what a connection of HTTP/2 holds beside its streams: buffers of frames, tables of headers and a header block.
	http2ConnBytes = 32 << 10
	// streamBytes is what a request of HTTP/2 holds beside its headers and its body.
	streamBytes = 8 << 10
	// refusalTime is how long a caller whose headers are refused may take to read the response before its connection is closed.
	refusalTime = 500 * time.Millisecond
	// refusalRetryAfter is the retry delay in seconds of requests that are refused for want of memory.
	refusalRetryAfter = 1

	protocolHTTP2 = "h2"
)

// HTTP2 returns the limits of connections of HTTP/2: the number of streams that the protocol recommends as the least (RFC 9113), and windows in which
// a body of the usual size arrives without a pause.
func HTTP2() *http.HTTP2Config {
	return &http.HTTP2Config{
		MaxConcurrentStreams: 100, MaxReadFrameSize: 16 << 10, MaxDecoderHeaderTableSize: 4 << 10, MaxEncoderHeaderTableSize: 4 << 10,
		MaxReceiveBufferPerConnection: http2Window, MaxReceiveBufferPerStream: http2Window,
	}
}

// http2Window is how many bytes of bodies a connection of HTTP/2 may hold unread.
const http2Window = 64 << 10

var (
	errNoRoom       = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("no memory for the headers")}
	errHeadTooLarge = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("the headers are too large")}
)

// read reads from the connection. While the body of a request arrives, the connection may be ended in favour of others: no call is in
// progress yet.
func (c *conn) read(p []byte) (int, error) {
	if len(p) == backgroundReadSize || !c.readsBody() {
		return c.Conn.Read(p)
	}
	c.account.MayEnd()
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case n == 0 && c.evicted.Load() && errors.Is(err, os.ErrDeadlineExceeded):
		c.bodyEnded = true
	case !c.handled:
		c.serve()
	}
	return n, err
}

// readsBody reports whether a read with more than backgroundReadSize bytes reads the body of a request. With TLS, reads beside a handler are as large.
func (c *conn) readsBody() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == serving && !c.server.encrypted
}

// evict makes the connection end unless it begins to serve a request before, and reports whether it is closed already. The budget calls it
// while it is locked.
func (c *conn) evict() (closed bool) {
	c.evicted.Store(true)
	if c.writeEnded.Load() || c.mayCut.Load() {
		return c.Conn.Close() == nil
	}
	_ = c.Conn.SetReadDeadline(past) // fails if the connection has ended
	return false
}

// followState tells the account of the connection's new state. c.mu must be held.
func (c *conn) followState() {
	c.mayCut.Store(false)
	if c.state == serving {
		// Else the handler does, so that a connection whose request was malformed and that net/http keeps for a while may be ended.
		if c.multiplexed {
			c.serve()
		}
		return
	}
	if !c.multiplexed { // else each stream gives back its own
		c.account.Keep(0)
	}
	c.account.Wait()
}

// serve keeps the connection from being ended in favour of others. c.mu must be held.
func (c *conn) serve() {
	if c.account.Serve() {
		c.evicted.Store(false)
		_ = c.applyDeadline() // a connection without deadlines fails in the next Read
	}
}

// undoEviction reports whether the connection was to end in favour of others and has begun to serve a request before.
func (c *conn) undoEviction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != serving || c.handled || c.bodyEnded || !c.evicted.Load() {
		return false
	}
	c.serve()
	return true
}

// countHead reserves the memory that a piece of a request's head takes once it is parsed. It returns an error if the connection has
// to end.
func (c *conn) countHead(piece []byte) error {
	if !c.readsRequest() {
		return nil
	}
	bytes := connbudget.HeadBytes(piece)
	if c.server.encrypted {
		bytes = connbudget.EncryptedHeadBytes(len(piece))
	}
	if !c.account.Reserve(bytes) {
		return errNoRoom
	}
	c.headBytes += int64(len(piece)) // used by the reading goroutine only, once the head has begun
	if limit := c.server.headLimit(); limit > 0 && c.headBytes > limit {
		c.refuseHead()
		return errHeadTooLarge
	}
	return nil
}

// refuseHead answers a request whose head is too large, and reads on for a while: closing a connection with unread data would take the
// answer from the caller.
func (c *conn) refuseHead() {
	c.server.headsRefused.Inc()
	const text = "too_large: the headers are too large\nrun: not_run\nremedy: send smaller headers\n"
	answer := "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\nContent-Length: " +
		strconv.Itoa(len(text)) + "\r\n\r\n" + text
	end := time.Now().Add(refusalTime)
	_ = c.Conn.SetDeadline(end) // fails if the connection has ended, as the write does then
	if _, err := io.WriteString(c.Conn, answer); err != nil {
		return
	}
	_ = c.CloseWrite()
	if c.evicted.Load() {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn) // until the caller closes, the time is over or the connection is evicted
}

// headLimit returns the size of the largest head that is read, 0 if net/http alone bounds it.
func (s *Server) headLimit() int64 {
	if s.opts.HeadLimit == nil || s.encrypted {
		return 0
	}
	return s.opts.HeadLimit()
}

// reserve reserves the memory of a request whose head has been parsed. It returns nil if there is none, else the function that
// gives it back.
func (c *conn) reserve(r *http.Request) (release func()) {
	head := connbudget.ParsedHeadBytes(r)
	if r.ProtoMajor < 2 {
		c.setHandled(false)
		if !c.account.Hold(head) {
			c.setHandled(true)
			return nil
		}
		if cut := c.server.opts.MayCut; cut != nil && cut(r) {
			c.mayCut.Store(true)
			c.account.MayEnd()
		}
		// The memory is given back when the connection awaits its next request. An end reaches readers only, not the answer.
		return func() { c.setHandled(true) }
	}
	n := head + streamBytes
	if r.ContentLength != 0 {
		n += http2Window
	}
	if !c.account.Reserve(n) {
		return nil
	}
	return func() { c.account.Release(n) }
}

// setHandled notes whether the handler of the current request has ended.
func (c *conn) setHandled(handled bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handled = handled
	if handled {
		c.account.MayEnd()
	} else {
		c.serve()
	}
}

// refuse answers a request for which there is no memory.
func (s *Server) refuse(w http.ResponseWriter, r *http.Request) {
	s.opts.Log.Info("request refused", zap.String("request", s.opts.RequestID(r.Header)), zap.String("reason", "no memory for connections"))
	w.Header().Set("Retry-After", strconv.Itoa(refusalRetryAfter))
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, "overloaded: no memory for the request\nrun: not_run\nremedy: retry after the stated time\n")
}
