package connpool

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	readBuffer = 4 << 10
	// maxStray is the most answers of others that are read over on one connection.
	maxStray = 3
	// maxStrayBytes is the most bytes of such an answer.
	maxStrayBytes = 1 << 20
)

// conn is one connection, used by one request at a time.
type conn struct {
	pool      *Pool
	target    Target
	nc        net.Conn
	br        *bufio.Reader
	idleUntil time.Time
}

func newConn(p *Pool, t Target, nc net.Conn) *conn {
	return &conn{pool: p, target: t, nc: nc, br: bufio.NewReaderSize(nc, readBuffer)}
}

func (c *conn) close() { _ = c.nc.Close() }

// sound reports whether an unused connection can take a request: it is not about to be closed
// for disuse, and nothing came that nobody asked for.
func (c *conn) sound() bool {
	return time.Now().Before(c.idleUntil) && c.br.Buffered() == 0 && !peekOne(c.nc)
}

// roundTrip writes the request while the answer is read: an endpoint may answer before it has
// read a long body.
func (c *conn) roundTrip(ctx context.Context, r *Request) (*Response, error) {
	detach := context.AfterFunc(ctx, c.close)
	written := make(chan error, 1)
	if len(r.Body) <= smallBody {
		written <- c.write(r)
	} else {
		go func() { written <- c.write(r) }()
	}
	resp, err := c.readHead(r)
	if err != nil {
		detach()
		c.close()
		if cause := context.Cause(ctx); cause != nil {
			err = cause
		}
		return nil, &Error{Sent: true, Err: err}
	}
	return newResponse(c, resp, written, detach), nil
}

// smallBody is the longest body that is written before the answer is awaited; it fits the
// smallest window, so that the write cannot wait for the endpoint's reading.
const smallBody = 2 << 10

func (c *conn) write(r *Request) error {
	var b bytes.Buffer
	b.WriteString(r.Method + " " + r.URI + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if err := r.Header.Write(&b); err != nil {
		return err
	}
	if r.Body != nil {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(r.Body)
	_, err := c.nc.Write(b.Bytes())
	return err
}

// readHead reads heads until one belongs to the request. Answers of others are read over.
func (c *conn) readHead(r *Request) (*http.Response, error) {
	asked := &http.Request{Method: r.Method}
	for range maxStray {
		resp, err := http.ReadResponse(c.br, asked)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if r.Mine == nil || r.Mine(resp.Header) {
			return resp, nil
		}
		if resp.Close {
			return nil, errStray
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil {
			return nil, err
		}
		if n == maxStrayBytes {
			return nil, errStray
		}
	}
	return nil, errStray
}

// Response is an answer whose head has come.
type Response struct {
	Status int
	Header http.Header
	// Length is the body's length, -1 if it is not known.
	Length int64

	conn    *conn
	body    io.ReadCloser
	written chan error
	detach  func() bool
	ended   bool
	keep    time.Duration
}

func newResponse(c *conn, resp *http.Response, written chan error, detach func() bool) *Response {
	r := &Response{
		Status: resp.StatusCode, Header: resp.Header, Length: resp.ContentLength,
		conn: c, body: resp.Body, written: written, detach: detach,
	}
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	if framed && !resp.Close {
		r.keep = keepTime(resp.Header)
	}
	return r
}

// keepTime gives how long a connection may stay unused after this answer, 0 for not at all.
func keepTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(0, time.Duration(seconds)*time.Second-idleMargin)
		}
	}
	return defaultIdle
}

// Read reads the body. It gives io.EOF only at the end of a whole body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.body.Read(p)
	if errors.Is(err, io.EOF) {
		r.ended = true
	}
	return n, err
}

// Close gives the connection back if the exchange is over and clean, and ends it otherwise.
func (r *Response) Close() error {
	detached := r.detach()
	if !detached || !r.ended || r.keep <= 0 || !r.writeEnded() || r.conn.br.Buffered() > 0 {
		r.conn.close()
		return nil
	}
	r.conn.idleUntil = time.Now().Add(r.keep)
	r.conn.pool.put(r.conn)
	return nil
}

// writeEnded reports whether the whole request left.
func (r *Response) writeEnded() bool {
	select {
	case err := <-r.written:
		return err == nil
	default:
		return false
	}
}
