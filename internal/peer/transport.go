// Package peer carries typed messages between daemons: calls with replies and one-way messages,
// as length-prefixed msgpack frames over TCP, with mutual TLS if configured.
//
// A connection with outstanding calls is pinged. If nothing is received for InactivityTimeout, it
// is closed and its calls fail as Unavailable. A connection that carries only one-way messages is
// pinged less often.
package peer

import (
	"cmp"
	"context"
	"crypto/tls"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/connbudget"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// Timeouts and limits of connections.
const (
	// InactivityTimeout is the maximum time without a received frame while a response is awaited.
	InactivityTimeout = 1500 * time.Millisecond
	// PingPeriod is the time between pings while a response is awaited.
	PingPeriod = 500 * time.Millisecond
	// oneWayPingDelay is the time after a one-way message until a ping checks the connection, if
	// nothing was received meanwhile. It is longer than PingPeriod because one-way messages are
	// frequent and the kernel detects most broken connections by itself.
	oneWayPingDelay = 4 * time.Second
	// IdleTimeout is the time after which an unused connection is closed.
	IdleTimeout = 60 * time.Second
	// DialTimeout is the timeout of one connection attempt.
	DialTimeout = 500 * time.Millisecond
	// OutboxCapacity is the maximum number of frames queued on one connection. When the queue is
	// full, one-way messages are dropped and calls fail as Overloaded.
	OutboxCapacity = 1024
	// MaxInboundCalls is the maximum number of messages handled concurrently. Calls beyond it fail
	// as Overloaded.
	MaxInboundCalls = 8192
)

// Handler handles one message. The reply to a one-way message is discarded.
type Handler func(ctx context.Context, from ident.VM, body []byte) ([]byte, error)

// Options configures a Transport.
type Options struct {
	// Self identifies this VM in the first frame of each connection.
	Self ident.VM
	// Advertise is the address at which this VM accepts connections. If it is valid, other VMs may
	// send on the connections that this one dials.
	Advertise netip.AddrPort
	// TLS is used for dialed and accepted connections; nil means plain TCP.
	TLS *tls.Config
	// Log is the logger; nil disables logging.
	Log *zap.Logger
	// Limits bound connections and frames; those left 0 are taken from LimitsFor with 64 MiB of memory.
	Limits Limits
	// Metrics receives the metrics of connections; nil means none.
	Metrics *metrics.Set
	// CountFrame is called with the size of each frame sent or received. It may be nil.
	CountFrame func(sent bool, kind Kind, bytes int)
}

// Transport manages the connections of one daemon.
type Transport struct {
	opts     Options
	handlers map[Kind]Handler
	streams  map[Kind]StreamHandler
	// inOrder holds the kinds that are handled by the goroutine that reads the connection.
	inOrder map[Kind]bool
	inbound chan struct{}
	nextID  atomic.Uint64
	memory  *memory
	// unnamed is the number of accepted connections whose first frame has not come.
	unnamed atomic.Int64
	// boundLog, helloLog, streamLog and messageLog limit log lines that other VMs or strangers cause.
	boundLog, helloLog, streamLog, messageLog logLimit

	mu sync.Mutex
	// conns holds the connections for messages to other VMs, by address: dialed ones, and accepted ones
	// that are shared.
	conns    map[netip.AddrPort]*conn
	accepted map[net.Conn]*guest
	// perAddress is the number of accepted connections by remote address.
	perAddress map[netip.Addr]int
	// open holds the connections that are in use, dialed or accepted. keepAlive is set once
	// keepAliveLoop runs.
	open      map[*conn]struct{}
	keepAlive bool
	closed    bool
	// active is the number of listeners, streams and messages that are being served, and of accepted connections whose
	// first frame has not come.
	active int
	wg     sync.WaitGroup
	ctx    context.Context
	cancel context.CancelFunc
	// draining ends when Shutdown is called.
	draining context.Context
	drain    context.CancelFunc
}

// New returns a Transport. Handlers must be registered before Serve.
func New(o Options) *Transport {
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.CountFrame == nil {
		o.CountFrame = func(bool, Kind, int) {}
	}
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	defaults := LimitsFor(defaultMemoryBytes, connbudget.Connections(0))
	o.Limits.Connections = cmp.Or(o.Limits.Connections, defaults.Connections)
	o.Limits.PerAddress = cmp.Or(o.Limits.PerAddress, defaults.PerAddress)
	o.Limits.FrameBytes = cmp.Or(o.Limits.FrameBytes, defaults.FrameBytes)
	ctx, cancel := context.WithCancel(context.Background())
	draining, drain := context.WithCancel(ctx)
	t := &Transport{
		opts:       o,
		handlers:   map[Kind]Handler{},
		streams:    map[Kind]StreamHandler{},
		inOrder:    map[Kind]bool{},
		inbound:    make(chan struct{}, MaxInboundCalls),
		conns:      map[netip.AddrPort]*conn{},
		accepted:   map[net.Conn]*guest{},
		perAddress: map[netip.Addr]int{},
		memory:     newMemory(o.Limits.FrameBytes),
		open:       map[*conn]struct{}{},
		ctx:        ctx,
		cancel:     cancel,
		draining:   draining,
		drain:      drain,
	}
	t.observeConnections()
	t.observeMemory()
	return t
}

// Handle registers the handler of a kind. It must be called before Serve.
func (t *Transport) Handle(kind Kind, h Handler) { t.handlers[kind] = h }

// HandleOneWay registers the handler of a kind of one-way messages. Those of a connection are
// handled one after the other, in order, before further messages are read, so h must not block. It
// must be called before Serve.
func (t *Transport) HandleOneWay(kind Kind, h Handler) {
	t.handlers[kind] = h
	t.inOrder[kind] = true
}

// Serve accepts connections on ln until Shutdown or Close is called.
func (t *Transport) Serve(ln net.Listener) error {
	t.addActive(1)
	defer t.addActive(-1)
	draining := tcpconn.NewDrainingListener(ln)
	ln = lateListener{draining}
	if t.opts.TLS != nil {
		ln = tls.NewListener(ln, t.opts.TLS)
	}
	defer context.AfterFunc(t.draining, draining.Drain)()
	defer context.AfterFunc(t.ctx, func() { _ = draining.Close() })()
	for {
		t.awaitRoom(t.ctx)
		nc, err := ln.Accept()
		switch {
		case err == nil:
			t.accept(nc)
		case t.draining.Err() != nil:
			return nil
		case !t.retryAccept(err):
			return err
		}
	}
}

// lateListener accepts connections on which a first frame that has arrived is read although its deadline has passed.
type lateListener struct{ net.Listener }

// Accept implements net.Listener.
func (l lateListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return tcpconn.LateReader{Conn: nc}, nil
}

func (t *Transport) addActive(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.active += n
}

func (t *Transport) accept(nc net.Conn) {
	admitted, givesWay := t.startAccepting(nc)
	if !admitted {
		_ = nc.Close()
	}
	if givesWay != nil {
		t.refused(reasonSilent)
		givesWay.close(fault.Wrap(errGivesWay, fault.Unavailable, "none needed: the next call dials again", "peer connection"))
	}
	if !admitted || givesWay != nil {
		t.warnFull("bound on connections of other vms met", errTooMany)
	}
}

// startAccepting reads the first frame of an accepted connection in a goroutine, if there is room for the connection.
func (t *Transport) startAccepting(nc net.Conn) (admitted bool, givesWay *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return false, nil
	}
	if admitted, givesWay = t.admitGuest(nc); admitted {
		t.active++
		t.wg.Add(1)
		go t.receiveFirst(nc)
	}
	return admitted, givesWay
}

// receiveFirst reads the first frame of an accepted connection, which says whether it carries messages or a stream.
func (t *Transport) receiveFirst(nc net.Conn) {
	defer t.wg.Done()
	defer t.addActive(-1)
	first, n, err := readFirst(nc)
	if err != nil {
		t.refused(reasonFirstFrame)
		t.opts.Log.Debug("accepted connection closed", zap.Stringer("remote", nc.RemoteAddr()), zap.Error(err))
		t.forget(nc)
		return
	}
	t.opts.CountFrame(false, first.Kind, n)
	if first.Type == frameStream {
		t.name(nc, nil)
		t.serveStream(nc, first)
		return
	}
	t.startAccepted(nc, first)
}

// readFirst reads a first frame, which says who the sender is.
func readFirst(nc net.Conn) (first *frame, n int, err error) {
	limit := time.Now().Add(InactivityTimeout)
	if err := nc.SetReadDeadline(limit); err != nil {
		return nil, 0, err
	}
	if err := nc.SetWriteDeadline(limit); err != nil { // a TLS handshake writes, too
		return nil, 0, err
	}
	first, n, err = readFrame(nc, maxFirstFrameBytes)
	if err != nil {
		return nil, n, err
	}
	if first.From == nil || first.Type != frameHello && first.Type != frameStream {
		return nil, n, errNoHello
	}
	return first, n, nc.SetDeadline(time.Time{})
}

// forget closes an accepted connection.
func (t *Transport) forget(nc net.Conn) {
	_ = nc.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetGuest(nc)
}

func (t *Transport) startAccepted(nc net.Conn, first *frame) {
	c := newConn(t, nc)
	c.onClose = func() {
		t.mu.Lock()
		t.forgetGuest(nc)
		delete(t.open, c)
		if t.conns[c.addr] == c {
			delete(t.conns, c.addr)
		}
		t.mu.Unlock()
	}
	t.name(nc, c)
	t.opened(c)
	c.start()
	c.dispatch(first)
}

// openedLocked records that a connection is in use. t.mu must be held.
func (t *Transport) openedLocked(c *conn) {
	t.open[c] = struct{}{}
	if t.keepAlive || t.closed {
		return
	}
	t.keepAlive = true
	t.wg.Add(1)
	go t.keepAliveLoop()
}

func (t *Transport) opened(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.openedLocked(c)
}

// keepAliveLoop checks all connections every PingPeriod until the transport is closed. One loop for
// all of them wakes the process once per period, however many there are.
func (t *Transport) keepAliveLoop() {
	defer t.wg.Done()
	tick := time.NewTicker(PingPeriod)
	defer tick.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-tick.C:
		}
		t.mu.Lock()
		open := slices.Collect(maps.Keys(t.open))
		t.mu.Unlock()
		for _, c := range open {
			if err := c.keepAlive(); err != nil {
				c.close(err)
			}
		}
	}
}

// Connect opens a connection to addr, if there is none, and waits until it is usable.
func (t *Transport) Connect(ctx context.Context, addr netip.AddrPort) error {
	_, err := t.connTo(ctx, addr)
	return err
}

// Call sends a request to addr and waits for the reply or the end of ctx. The request may have
// been handled even if Call fails as Unavailable or Timeout.
func (t *Transport) Call(ctx context.Context, addr netip.AddrPort, kind Kind, body []byte) ([]byte, error) {
	c, err := t.connTo(ctx, addr)
	if err != nil {
		return nil, err
	}
	return c.call(ctx, kind, body)
}

// Send queues a one-way message on the connection to addr. Delivery is not guaranteed.
func (t *Transport) Send(ctx context.Context, addr netip.AddrPort, kind Kind, body []byte) error {
	c, err := t.connTo(ctx, addr)
	if err != nil {
		return err
	}
	c.noteOneWay()
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

func (t *Transport) removeConn(addr netip.AddrPort, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, c)
	if t.conns[addr] == c {
		delete(t.conns, addr)
	}
}

// Call sends req to addr through t and decodes the reply.
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
	if err := codec.Unmarshal(out, &resp); err != nil {
		return nil, fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode reply")
	}
	return &resp, nil
}

// Send sends msg to addr as a one-way message. Delivery is not guaranteed.
func Send[Msg any](ctx context.Context, t *Transport, addr netip.AddrPort, kind Kind, msg *Msg) error {
	body, err := marshal(msg)
	if err != nil {
		return fault.Wrap(err, fault.Internal, "report this", "encode message")
	}
	return t.Send(ctx, addr, kind, body)
}

// Broadcast is a one-way message that is encoded once and sent to several VMs.
type Broadcast struct{ frame *frame }

// NewBroadcast encodes a message for several VMs.
func NewBroadcast[Msg any](kind Kind, msg *Msg) (Broadcast, error) {
	body, err := marshal(msg)
	if err != nil {
		return Broadcast{}, fault.Wrap(err, fault.Internal, "report this", "encode message")
	}
	f := &frame{Type: frameOneWay, Kind: kind, Body: body}
	f.encoded, err = encodeFrame(f)
	return Broadcast{frame: f}, err
}

// SendBroadcast queues a broadcast on the connection to addr, which it opens if there is none.
// Delivery is not guaranteed.
func (t *Transport) SendBroadcast(ctx context.Context, addr netip.AddrPort, b Broadcast) error {
	c, err := t.connTo(ctx, addr)
	if err != nil {
		return err
	}
	c.noteOneWay()
	return c.enqueue(b.frame)
}

// TrySendBroadcast is like SendBroadcast, but returns false if there is no open connection to addr or
// its queue is full. It does not block.
func (t *Transport) TrySendBroadcast(addr netip.AddrPort, b Broadcast) bool {
	t.mu.Lock()
	c := t.conns[addr]
	t.mu.Unlock()
	if c == nil || !c.isReady() {
		return false
	}
	c.noteOneWay()
	return c.enqueue(b.frame) == nil
}

// Handle registers a typed handler with t. It must be called before Serve.
func Handle[Req, Resp any](t *Transport, kind Kind, h func(ctx context.Context, from ident.VM, req *Req) (*Resp, error)) {
	t.Handle(kind, func(ctx context.Context, from ident.VM, body []byte) ([]byte, error) {
		var req Req
		if err := codec.Unmarshal(body, &req); err != nil {
			return nil, fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode message")
		}
		resp, err := h(ctx, from, &req)
		if err != nil {
			return nil, err
		}
		return marshal(resp)
	})
}

// HandleOneWay registers a typed handler of one-way messages; see Transport.HandleOneWay.
func HandleOneWay[Msg any](t *Transport, kind Kind, h func(ctx context.Context, from ident.VM, msg *Msg)) {
	t.HandleOneWay(kind, func(ctx context.Context, from ident.VM, body []byte) ([]byte, error) {
		var msg Msg
		if err := codec.Unmarshal(body, &msg); err != nil {
			return nil, fault.Wrap(err, fault.Malformed, "run the same release on all VMs", "decode message")
		}
		h(ctx, from, &msg)
		return nil, nil
	})
}
