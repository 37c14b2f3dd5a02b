// Package connpool implements a pool of HTTP/1.1 client connections to endpoints, each of which
// serves one request at a time. Unlike net/http's Transport it sends a request again only if the kernel took no byte of
// it, reports whether any byte of a failed request may have been sent, and checks that a response belongs to its
// request.
package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

const (
	// DialTimeout limits one connection attempt. The kernel retransmits a lost SYN only after a
	// second; by then another endpoint can have taken the call.
	DialTimeout = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the endpoint sends no Keep-Alive
	// timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the endpoint's Keep-Alive timeout, so that the pool closes an
	// idle connection before the endpoint does.
	idleMargin = 400 * time.Millisecond
	// maxIdlePerTarget is the maximum number of idle connections to one endpoint.
	maxIdlePerTarget = 16
)

// Target identifies the endpoint of a connection. Instance distinguishes endpoints that use the
// same address one after the other.
type Target struct {
	Address  netip.AddrPort
	Instance string
}

// Request is a request as written to the connection.
type Request struct {
	Target Target
	// ID names the request in logs.
	ID     string
	Method string
	// URI is written to the request line unchanged.
	URI    string
	Host   string
	Header http.Header
	// Body is nil if the request has none.
	Body []byte
	// IDHeader is the header with the id of the request that the endpoint repeats in its response. If it is empty, or the
	// request has no id, any response is taken.
	IDHeader string
	// Await, if not nil, is called before the request is written to a connection; the request is not sent if it fails. It is not called
	// for a connection that is known to lead to Lifetime, or to any one if AnyLifetime is set. It may ask on the connection, and set what
	// lifetime that leads to. If it succeeds although a question has used up the connection, the request is sent on another one.
	Await       func(ctx context.Context, on *Conn) error
	Lifetime    int64
	AnyLifetime bool
	// LastLook, if not nil, is called right before the first byte is written, once for each connection on which that is tried. It
	// may change Header. The request is not sent if it fails; no byte is sent then.
	LastLook func(ctx context.Context) error
	// ArrivedAt is when a request of another VM arrived at this one, zero if it is not one.
	ArrivedAt time.Time
	// Alone is set if the request gets a connection of its own, before and after which no other request is sent.
	Alone bool
	// CheckEnd, if not nil, is called at the end of a body that neither a length nor chunks delimit. The body ends with its error
	// instead if it fails. ctx is that of the request.
	CheckEnd func(ctx context.Context, end End) error
}

// id returns the id that the response must repeat, empty if there is none.
func (r *Request) id() string {
	if r.IDHeader == "" {
		return ""
	}
	return r.Header.Get(r.IDHeader)
}

// Error reports a failed request. Sent is set if any byte of the request may have been sent.
type Error struct {
	Sent bool
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveSent reports whether any byte of a request that failed with err may have been sent.
func MayHaveSent(err error) bool {
	var e *Error
	return !errors.As(err, &e) || e.Sent
}

// Pool holds idle connections. It is safe for concurrent use.
type Pool struct {
	dialer net.Dialer
	// onDial is called for each new connection. It is never nil.
	onDial func()

	mu     sync.Mutex
	idle   map[Target][]*conn
	closed bool
}

// New returns an empty Pool. It calls onDial for each new connection unless onDial is nil.
func New(onDial func()) *Pool {
	if onDial == nil {
		onDial = func() {}
	}
	return &Pool{
		onDial: onDial,
		idle:   map[Target][]*conn{},
		dialer: tcpconn.Dialer(DialTimeout),
	}
}

// errNotSent means that the kernel took no byte of a request.
var errNotSent = errors.New("the connection was closed before the request was sent")

// errSpent means that a question has used up a connection, after which the request may be sent on another one.
var errSpent = fmt.Errorf("%w: a question on it has failed", errNotSent)

// maxSpent is the number of new connections that questions may use up before a request is sent.
const maxSpent = 2

// Do sends a request and returns the response once its header has been read. If a reused connection takes no byte of the
// request, it is sent on a new one. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	if c := p.get(r); c != nil {
		resp, err := c.send(ctx, r)
		if !errors.Is(err, errNotSent) {
			return resp, err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return nil, &Error{Err: cause}
	}
	for spent := 0; ; spent++ {
		c, err := p.dial(ctx, r.Target)
		if err != nil {
			return nil, &Error{Err: err}
		}
		resp, err := c.send(ctx, r)
		switch {
		case errors.Is(err, errSpent) && spent < maxSpent && ctx.Err() == nil:
			continue
		case errors.Is(err, errNotSent):
			err = &Error{Err: err}
		}
		return resp, err
	}
}

// Connect opens a connection, which is kept for a later request. It fails if the endpoint does not accept it.
func (p *Pool) Connect(ctx context.Context, t Target) error {
	c, err := p.dial(ctx, t)
	if err != nil {
		return err
	}
	c.idleUntil = time.Now().Add(defaultIdleTimeout)
	p.put(c)
	return nil
}

func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", t.Address.String())
	if err != nil {
		return nil, err
	}
	p.onDial()
	return newConn(p, t, nc), nil
}

// get returns the most recently used idle connection that can be used for a request, or nil.
func (p *Pool) get(r *Request) *conn {
	for !r.Alone {
		c := p.pop(r)
		if c == nil || c.reusable(r) {
			return c
		}
		c.close()
	}
	return nil
}

// pop prefers connections on which the request need not wait.
func (p *Pool) pop(r *Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[r.Target]
	found := len(list) - 1
	for i, c := range slices.Backward(list) {
		if c.accepted(r) {
			found = i
			break
		}
	}
	if found < 0 {
		return nil
	}
	c := list[found]
	p.idle[r.Target] = slices.Delete(list, found, found+1)
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.target]
	if p.closed || len(list) >= maxIdlePerTarget {
		c.close()
		return
	}
	p.idle[c.target] = append(list, c)
}

// CloseExpired closes connections whose idle timeout has expired.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for t, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
			} else {
				c.close()
			}
		}
		if len(kept) == 0 {
			delete(p.idle, t)
		} else {
			p.idle[t] = kept
		}
	}
}

// Close closes all idle connections. Connections in use are closed when their request ends.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	lists := p.idle
	p.idle = map[Target][]*conn{}
	p.mu.Unlock()
	for _, list := range lists {
		for _, c := range list {
			c.close()
		}
	}
}

var errUnmatchedResponses = errors.New("no response on the connection matched the request")
