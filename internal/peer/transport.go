// Package peer carries typed messages between the daemons: calls with replies and one-way
// messages, as length-prefixed msgpack frames over TCP, with mutual TLS where set.
//
// A connection that has calls outstanding is pinged; one that stays silent past SilenceLimit is
// closed and its calls fail as Unavailable. One that only carries messages is pinged now and
// then.
package peer

import (
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Timing and size of connections.
const (
	// SilenceLimit is how long a connection with work outstanding may stay silent.
	SilenceLimit = 1500 * time.Millisecond
	// PingPeriod is the time between pings while work is outstanding.
	PingPeriod = 500 * time.Millisecond
	// toldLimit is how long messages without a reply go unanswered before a ping asks for a
	// sign. They are many, and the kernel finds most silent connections by itself.
	toldLimit = 4 * time.Second
	// IdleLimit is how long an unused connection is kept.
	IdleLimit = 60 * time.Second
	// DialTimeout bounds one connection attempt.
	DialTimeout = 500 * time.Millisecond
	// OutboxFrames is the most frames that wait on one connection. When it is full a
	// one-way message is dropped and a call fails as Overloaded.
	OutboxFrames = 1024
	// MaxInboundCalls is the most calls served at once; beyond it calls fail as Overloaded.
	MaxInboundCalls = 8192
)

// Handler serves one message. For a one-way message the reply is dropped.
type Handler func(ctx context.Context, from ident.VM, body []byte) ([]byte, error)

// Options configure a Transport.
type Options struct {
	// Self is sent in each connection's first frame.
	Self ident.VM
	// TLS is used on both sides when set; nil means plain TCP.
	TLS *tls.Config
	// Log gets a line for each connection that fails.
	Log *zap.Logger
	// Counter is told of the bytes of each frame, by direction and kind. Nil counts nothing.
	Counter func(sent bool, kind Kind, bytes int)
}

// Transport holds the connections of one daemon.
type Transport struct {
	opts     Options
	handlers map[Kind]Handler
	inbound  chan struct{}
	nextID   atomic.Uint64

	mu     sync.Mutex
	conns  map[netip.AddrPort]*conn
	served map[net.Conn]struct{}
	closed bool
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
}

// New makes a Transport. Handlers are registered before Serve.
func New(o Options) *Transport {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Counter == nil {
		o.Counter = func(bool, Kind, int) {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Transport{
		opts:     o,
		handlers: map[Kind]Handler{},
		inbound:  make(chan struct{}, MaxInboundCalls),
		conns:    map[netip.AddrPort]*conn{},
		served:   map[net.Conn]struct{}{},
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Handle registers the handler of a kind. It is called before Serve.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// Serve accepts connections on ln until Close.
func (t *Transport) Serve(ln net.Listener) error {
	if t.opts.TLS != nil {
		ln = tls.NewListener(ln, t.opts.TLS)
	}
	stop := context.AfterFunc(t.ctx, func() { _ = ln.Close() })
	defer stop()
	for {
		nc, err := ln.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return nil
			}
			return err
		}
		t.accept(nc)
	}
}

func (t *Transport) accept(nc net.Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = nc.Close()
		return
	}
	t.served[nc] = struct{}{}
	c := newConn(t, nc)
	c.onClose = func() {
		t.mu.Lock()
		delete(t.served, nc)
		t.mu.Unlock()
	}
	c.start()
}

// Close ends all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.mu.Lock()
	t.closed = true
	t.cancel()
	served := slices.Collect(maps.Keys(t.served))
	dialled := slices.Collect(maps.Values(t.conns))
	t.mu.Unlock()
	for _, nc := range served {
		_ = nc.Close()
	}
	for _, c := range dialled {
		c.shut(errClosed)
	}
	t.wg.Wait()
}

var errClosed = fault.New(fault.Stopping, "ask another VM", "transport is closed")

// Connect opens the connection to addr if there is none, and waits until it can be used.
func (t *Transport) Connect(ctx context.Context, addr netip.AddrPort) error {
	_, err := t.connTo(ctx, addr)
	return err
}

// Call sends a request to addr and waits for its reply or the end of ctx.
// When it fails as Unavailable or Timeout the request may have been handled.
func (t *Transport) Call(ctx context.Context, addr netip.AddrPort, kind Kind, body []byte) ([]byte, error) {
	c, err := t.connTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, kind, body)
}

// Send hands a one-way message to the connection for addr. It may be lost.
func (t *Transport) Send(ctx context.Context, addr netip.AddrPort, kind Kind, body []byte) error {
	c, err := t.connTo(ctx, addr)
	if err != nil {
		return err
	}
	c.expectSign()
	return c.enqueue(&frame{Type: frameOneWay, Kind: kind, Body: body})
}

func (t *Transport) connTo(ctx context.Context, addr netip.AddrPort) (*conn, error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil, errClosed
	}
	c := t.conns[addr]
	if c == nil {
		c = newDialing(t, addr)
		t.conns[addr] = c
		t.wg.Add(1)
		go c.dial()
	}
	t.mu.Unlock()
	return c, c.awaitReady(ctx)
}

func (t *Transport) forget(addr netip.AddrPort, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[addr] == c {
		delete(t.conns, addr)
	}
}

// Call sends req to addr with t and decodes the reply.
func Call[Req, Resp any](ctx context.Context, t *Transport, addr netip.AddrPort, kind Kind, req *Req) (*Resp, error) {
	body, err := marshal(req)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "report this", "encode message")
	}
	out, err := t.Call(ctx, addr, kind, body)
	if err != nil {
		return nil, err
	}
	var resp Resp
	if err := unmarshal(out, &resp); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode reply")
	}
	return &resp, nil
}

// Send hands msg to addr as a one-way message, which may be lost.
func Send[Msg any](ctx context.Context, t *Transport, addr netip.AddrPort, kind Kind, msg *Msg) error {
	body, err := marshal(msg)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this", "encode message")
	}
	return t.Send(ctx, addr, kind, body)
}

// Encode gives the body of a message that goes to several VMs.
func Encode[Msg any](msg *Msg) ([]byte, error) {
	body, err := marshal(msg)
	return body, fault.Wrap(err, fault.Internal, "report this", "encode message")
}

// Handle registers a typed handler with t.
func Handle[Req, Resp any](t *Transport, kind Kind, h func(ctx context.Context, from ident.VM, req *Req) (*Resp, error)) {
	t.Handle(kind, func(ctx context.Context, from ident.VM, body []byte) ([]byte, error) {
		var req Req
		if err := unmarshal(body, &req); err != nil {
			return nil, fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode message")
		}
		resp, err := h(ctx, from, &req)
		if err != nil {
			return nil, err
		}
		return marshal(resp)
	})
}
