// Package connpool keeps HTTP/1.1 connections to endpoints and sends one request at a time on
// each. Unlike net/http's transport it never sends a request twice, tells whether a byte of a
// request may have left, and checks that an answer belongs to its request.
package connpool

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmartide/fulmartide/internal/sockets"
)

const (
	// DialTimeout bounds one connection attempt; a dropped opening packet is sent again by the
	// kernel only after a second, when another endpoint has long taken the call.
	DialTimeout = 300 * time.Millisecond
	// defaultIdle is how long an unused connection is kept where the endpoint states nothing.
	defaultIdle = 4 * time.Second
	// idleMargin is left before the time at which the endpoint closes an unused connection.
	idleMargin = 400 * time.Millisecond
	// maxIdle is the most unused connections to one endpoint.
	maxIdle = 16
)

// Target is the endpoint that a connection leads to. Instance keeps connections of an earlier
// owner of the address apart.
type Target struct {
	Address  netip.AddrPort
	Instance string
}

// Request is one request as it is written.
type Request struct {
	Target Target
	Method string
	// URI goes into the request line as it is.
	URI    string
	Host   string
	Header http.Header
	// Body is nil for none.
	Body []byte
	// Mine reports whether an answer with this head belongs to the request. Nil takes any.
	Mine func(http.Header) bool
}

// Error is a failure of a request. Sent tells whether a byte may have left.
type Error struct {
	Sent bool
	Err  error
}

func (e *Error) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }

// Pool holds unused connections. It is safe for use by many goroutines.
type Pool struct {
	dialer net.Dialer
	// Opened is told of each connection that was opened. It may be nil.
	opened func()

	mu     sync.Mutex
	idle   map[Target][]*conn
	closed bool
}

// New makes a Pool; opened, which may be nil, is called for each new connection.
func New(opened func()) *Pool {
	if opened == nil {
		opened = func() {}
	}
	return &Pool{
		opened: opened,
		idle:   map[Target][]*conn{},
		dialer: sockets.Dialer(DialTimeout),
	}
}

// Do sends a request and gives the answer once its head has come. Errors are of type *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c := p.take(r.Target)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, r.Target); err != nil {
			return nil, &Error{Err: err}
		}
	}
	return c.roundTrip(ctx, r)
}

func (p *Pool) dial(ctx context.Context, t Target) (*conn, error) {
	nc, err := p.dialer.DialContext(ctx, "tcp", t.Address.String())
	if err != nil {
		return nil, err
	}
	p.opened()
	return newConn(p, t, nc), nil
}

// take gives an unused connection that is still sound, the last one used first.
func (p *Pool) take(t Target) *conn {
	for {
		c := p.pop(t)
		if c == nil || c.sound() {
			return c
		}
		c.close()
	}
}

func (p *Pool) pop(t Target) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[t]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[t] = list[:len(list)-1]
	return c
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[c.target]
	if p.closed || len(list) >= maxIdle {
		c.close()
		return
	}
	p.idle[c.target] = append(list, c)
}

// Forget closes the unused connections to a target, after a failure that may concern all.
func (p *Pool) Forget(t Target) {
	p.mu.Lock()
	list := p.idle[t]
	delete(p.idle, t)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// Sweep closes connections that were unused for too long.
func (p *Pool) Sweep(now time.Time) {
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

// Close closes all unused connections; those in use close when their request ends.
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

var errStray = errors.New("the connection gave too many answers that belong to no request")

// peekOne reports whether a byte, an end or an error waits on a connection, without taking it.
func peekOne(nc net.Conn) (pending bool) {
	sc, ok := nc.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		pending = err != unix.EAGAIN
	})
	return pending || err != nil
}
