package connpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

const (
	readBufferSize = 4 << 10
	// maxResponseReads is the maximum number of responses read per request, including interim
	// responses, responses to other requests and the matching one.
	maxResponseReads = 3
	// maxHeaderBytes is the maximum size of a response header, including what is read of the body with it.
	maxHeaderBytes = 64 << 10
	// maxUnmatchedBytes limits the body of a discarded response, which must be smaller.
	maxUnmatchedBytes = 1 << 20
)

// conn is a connection that serves one request at a time.
type conn struct {
	pool      *Pool
	target    Target
	nc        net.Conn
	in        *limitedReader
	br        *bufio.Reader
	opened    time.Time
	idleUntil time.Time
	// lifetime is that of the endpoint to which the connection leads, 0 if it is not known, UnnamedLifetime if it did not say.
	lifetime int64
	// checkedAt is when it was last checked whether the connection can be used again.
	checkedAt time.Time
	// requests is the number of requests that the connection has carried, lastID the id of the last one.
	requests int
	lastID   string
	// questions is the number of these that were questions and answered with 200.
	questions int
	// unnamed is the number of responses that did not name the request that they were read for. The connection is not
	// used again after one.
	unnamed int
}

func newConn(p *Pool, t Target, nc net.Conn) *conn {
	in := &limitedReader{r: nc, remaining: noLimit}
	return &conn{pool: p, target: t, opened: time.Now(), nc: nc, in: in, br: bufio.NewReaderSize(in, readBufferSize)}
}

// noLimit lets a limitedReader read on.
const noLimit = math.MaxInt64

var errHeaderTooLarge = errors.New("the endpoint's response header exceeds the maximum size")

// limitedReader fails with errHeaderTooLarge once remaining bytes have been read, or too many lines of a header.
type limitedReader struct {
	r         io.Reader
	remaining int64
	head      headLines
	// lastRead is when data was read last. A response may be delivered to a slow caller long after it has been read.
	lastRead time.Time
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.remaining <= 0 || l.remaining != noLimit && l.head.tooMany() {
		return 0, errHeaderTooLarge
	}
	p = p[:min(int64(len(p)), l.remaining)]
	n, err := l.r.Read(p)
	if n > 0 {
		l.lastRead = time.Now()
	}
	if l.remaining != noLimit {
		l.remaining -= int64(n)
		l.head.add(p[:n])
	}
	return n, err
}

func (c *conn) close() { _ = c.nc.Close() }

// reusable reports whether an idle connection can be used for a request: its idle timeout has not
// expired, and the peer has neither closed it nor sent unsolicited data. A second attempt does not use the connection
// of the first one, as a late copy of the first response would bear its id too.
func (c *conn) reusable(r *Request) bool {
	if id := r.id(); id != "" && id == c.lastID {
		return false
	}
	c.checkedAt = time.Now()
	return c.checkedAt.Before(c.idleUntil) && c.br.Buffered() == 0 && !tcpconn.Readable(c.nc)
}

// roundTrip writes the request and reads the response header. Large bodies are written
// concurrently, because an endpoint may respond before it has read the whole body. It returns errNotSent if the kernel took
// no byte of the request.
func (c *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	if err := c.lastLook(ctx, r); err != nil {
		return nil, err
	}
	c.requests++
	c.lastID = r.id()
	sentAt := time.Now()
	stopCancel := context.AfterFunc(ctx, c.close)
	written := make(chan writeResult, 1)
	c.write(r, written)
	resp, err := c.readHeader(r)
	if err != nil {
		stopCancel()
		c.close()
		if w := <-written; w.nothing() {
			return nil, errNotSent
		}
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Sent: true, Err: err}
	}
	out := newResponse(c, resp, written, stopCancel)
	if r.CheckEnd != nil && !out.Delimited {
		out.EndChecked = true
		out.body = NewEndCheckedReader(ctx, out.body, End{SentAt: sentAt, Opened: c.opened, Lifetime: c.lifetime, Status: resp.StatusCode, Header: resp.Header}, r.CheckEnd)
	}
	if r.Alone || c.unnamed > 0 {
		out.idleTimeout = 0
	}
	return out, nil
}

// maxCheckAge is how long after its check a kept connection is written to without another one. In a process that was paused the
// endpoint may have closed it meanwhile.
const maxCheckAge = 20 * time.Millisecond

// lastLook makes the last decision about a request. It returns an error of type *Error if the request is not to be sent, and
// errNotSent if it needs a new connection.
func (c *conn) lastLook(ctx context.Context, r *Request) error {
	if r.LastLook != nil {
		if err := r.LastLook(ctx); err != nil {
			c.keepUnused()
			return &Error{Err: err}
		}
	}
	if deadline, ok := ctx.Deadline(); ok && !time.Now().Before(deadline) {
		<-ctx.Done() // in a process that was paused its timer may not have run yet
	}
	if cause := context.Cause(ctx); cause != nil {
		c.close()
		return &Error{Err: cause}
	}
	if c.requests > 0 && time.Since(c.checkedAt) > maxCheckAge && !c.reusable(r) {
		c.close()
		return errNotSent
	}
	return nil
}

// keepUnused returns a connection to the pool to which nothing was written since it was taken or opened.
func (c *conn) keepUnused() {
	if c.requests == 0 {
		c.idleUntil = time.Now().Add(defaultIdleTimeout)
	}
	c.pool.put(c)
}

// maxSyncBody is how much of a body is written before the response is read. A request with such a
// body fits into the socket buffers and the smallest TCP window, so writing it does not wait for the
// endpoint to read.
const maxSyncBody = 2 << 10

// writeResult is the result of writing a request; n is the number of bytes that the kernel has taken.
type writeResult struct {
	n   int
	err error
}

// nothing reports whether no byte of the request was sent.
func (w writeResult) nothing() bool { return w.err != nil && w.n == 0 }

// write writes a request and sends the result to written. The header and the beginning of the body are written before it
// returns, so that the request arrives right after the last look at it; the rest of a large body is written concurrently.
func (c *conn) write(r *Request, written chan<- writeResult) {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		written <- writeResult{err: err}
		return
	}
	if r.Body != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	size := b.Len() + min(len(r.Body), maxSyncBody)
	b.Write(r.Body)
	n, err := c.nc.Write(b.Bytes()[:size])
	if err != nil || size == b.Len() {
		written <- writeResult{n, err}
		return
	}
	go func() {
		rest, err := c.nc.Write(b.Bytes()[size:])
		written <- writeResult{n + rest, err}
	}()
}

// answers reports whether a response is the one to the request that has been sent last. Without an id it may be
// additional bytes that follow the response to an earlier request, so only the first request of a connection takes it. After
// questions that were answered with 200 that holds for other responses: additional bytes would be a copy of an answer.
func (c *conn) answers(r *Request, status int, resp http.Header) bool {
	id := r.id()
	if id == "" {
		return r.IDHeader == "" || resp.Get(r.IDHeader) == ""
	}
	switch resp.Get(r.IDHeader) {
	case id:
		return true
	case "":
		c.unnamed++
		return c.requests == 1 || c.requests == 1+c.questions && status >= http.StatusMultipleChoices
	}
	c.unnamed++
	return false
}

// readHeader reads up to maxResponseReads response headers until one matches the request. Other responses are
// discarded.
func (c *conn) readHeader(r *Request) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for range maxResponseReads {
		c.in.remaining, c.in.head = maxHeaderBytes, headLines{}
		resp, err := http.ReadResponse(c.br, req)
		c.in.remaining = noLimit
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if c.answers(r, resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if resp.Close {
			return nil, errUnmatchedResponses
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxUnmatchedBytes))
		if err != nil {
			return nil, err
		}
		if n == maxUnmatchedBytes {
			return nil, errUnmatchedResponses
		}
	}
	return nil, errUnmatchedResponses
}

// Response is a response whose header has been read.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Delimited is set if a length or chunks mark the end of the body. Otherwise it ends with the
	// connection.
	Delimited bool
	// EndChecked is set if the end of a body that is not delimited is checked.
	EndChecked bool
	// Unnamed is the number of responses that were read and did not name the request.
	Unnamed int
	// Opened is when the connection was open.
	Opened time.Time
	// Lifetime is that of the endpoint to which the connection leads, 0 if it is not known.
	Lifetime int64

	conn        *conn
	body        io.Reader
	written     chan writeResult
	stopCancel  func() bool
	bodyRead    bool
	idleTimeout time.Duration
}

func newResponse(c *conn, resp *http.Response, written chan writeResult, stopCancel func() bool) *Response {
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		Delimited: resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || resp.Body == http.NoBody,
		Unnamed:   c.unnamed, Opened: c.opened, Lifetime: c.lifetime,
		conn: c, body: resp.Body, written: written, stopCancel: stopCancel,
	}
	if r.Delimited && !resp.Close {
		r.idleTimeout = idleTimeout(resp.Header)
	}
	return r
}

// idleTimeout returns how long the connection may stay idle after a response with these headers;
// 0 means that it must not be reused.
func idleTimeout(h http.Header) time.Duration {
	for _, param := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(param), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}

// Read reads the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.bodyRead = true
	}
	return n, err
}

// Close returns the connection to the pool if the request was written and the response read
// completely, and closes the connection otherwise.
func (r *Response) Close() error {
	if !r.reusable() {
		r.conn.close()
		return nil
	}
	r.conn.idleUntil = r.conn.in.lastRead.Add(r.idleTimeout)
	r.conn.pool.put(r.conn)
	return nil
}

// reusable reports whether the connection can carry further requests. It is called once, when the response has been read.
func (r *Response) reusable() bool {
	notCancelled := r.stopCancel()
	return notCancelled && r.bodyRead && r.idleTimeout > 0 && r.writeSucceeded() && r.conn.br.Buffered() == 0
}

// writeSucceeded reports whether the request was written completely.
func (r *Response) writeSucceeded() bool {
	select {
	case w := <-r.written:
		return w.err == nil
	default:
		return false
	}
}
