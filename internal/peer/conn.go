package peer

import (
	"bufio"
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// conn is a dialed or accepted connection. One goroutine reads from it and one writes to it.
type conn struct {
	t *Transport
	// addr is the address of the VM that messages on this connection are sent to, invalid for an
	// accepted connection that is not shared. It is guarded by the mutex of t.
	addr netip.AddrPort
	// dialed is set if this side opened the connection.
	dialed bool
	nc     net.Conn
	outbox chan *frame
	// unsent is the number of frames that have been queued and not written.
	unsent atomic.Int64
	// replyBytes is the size of the replies that are queued.
	replyBytes atomic.Int64
	ready      chan struct{}
	done       chan struct{}
	onClose    func()

	mu      sync.Mutex
	err     error
	pending map[uint64]chan *frame
	serving map[uint64]context.CancelFunc
	// awaitingSince is when the first call or ping since the last received frame was sent, zero if
	// none was. It is kept when a call times out, so that calls with short timeouts also detect an
	// unresponsive connection.
	awaitingSince time.Time
	// oneWaySince is when the first one-way message since the last received frame was sent, zero
	// if none was.
	oneWaySince time.Time
	lastUsed    time.Time
	// lastReceived is when the last frame was received.
	lastReceived time.Time
	remote       ident.VM
}

func newConn(t *Transport, nc net.Conn) *conn {
	now := time.Now()
	c := &conn{
		t:        t,
		nc:       nc,
		outbox:   make(chan *frame, OutboxCapacity),
		ready:    make(chan struct{}),
		done:     make(chan struct{}),
		onClose:  func() {},
		pending:  map[uint64]chan *frame{},
		serving:  map[uint64]context.CancelFunc{},
		lastUsed: now, lastReceived: now,
	}
	return c
}

func newDialing(t *Transport, addr netip.AddrPort) *conn {
	c := newConn(t, nil)
	c.addr, c.dialed = addr, true
	c.onClose = func() { t.removeConn(addr, c) }
	return c
}

// dial runs in its own goroutine, which is counted by the transport's wait group.
func (c *conn) dial() {
	defer c.t.wg.Done()
	ctx, cancel := context.WithTimeout(c.t.ctx, DialTimeout)
	defer cancel()
	nc, err := c.t.dial(ctx, c.addr)
	if err != nil {
		c.close(fault.Wrap(err, fault.Unavailable, "check that the VM is running and its port is reachable", "dial "+c.addr.String()))
		return
	}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		_ = nc.Close()
		return
	}
	c.nc = nc
	c.awaitingSince, c.oneWaySince = time.Time{}, time.Time{}
	c.mu.Unlock()
	c.t.opened(c)
	c.start()
}

func (c *conn) start() {
	_ = c.enqueue(c.t.newHello()) // the first frame finds room
	c.t.wg.Add(2)
	go c.readLoop()
	go c.writeLoop()
	close(c.ready)
}

func (c *conn) awaitReady(ctx context.Context) error {
	select {
	case <-c.ready:
		return nil
	case <-c.done:
		return c.closeErr()
	case <-ctx.Done():
		return timeoutError(ctx)
	}
}

// isReady reports whether the connection is open.
func (c *conn) isReady() bool {
	select {
	case <-c.done:
		return false
	default:
	}
	select {
	case <-c.ready:
		return true
	default:
		return false
	}
}

func timeoutError(ctx context.Context) error {
	return fault.Wrap(ctx.Err(), fault.Timeout, "retry or use another VM", "peer call", fault.WithExecution(fault.ExecutionUnknown))
}

func (c *conn) closeErr() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// close closes the connection with a cause; only the first cause is recorded. The transport
// removes the connection before its pending calls fail, so that later calls dial again.
func (c *conn) close(err error) {
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		return
	}
	c.err = err
	c.mu.Unlock()
	c.onClose()
	c.mu.Lock()
	close(c.done)
	for _, cancel := range c.serving {
		cancel()
	}
	nc := c.nc
	c.mu.Unlock()
	if nc != nil {
		_ = nc.Close()
	}
}

func (c *conn) call(ctx context.Context, kind Kind, body []byte) ([]byte, error) {
	f := &frame{Type: frameCall, Kind: kind, ID: c.t.nextID.Add(1), Body: body, TimeoutMillis: remainingMillis(ctx)}
	reply := make(chan *frame, 1)
	c.addPending(f.ID, reply)
	defer c.removePending(f.ID)
	if err := c.enqueue(f); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		if r.Fault != nil {
			return nil, r.Fault.Err()
		}
		return r.Body, nil
	case <-c.done:
		return nil, c.closeErr()
	case <-ctx.Done():
		_ = c.enqueue(&frame{Type: frameCancel, ID: f.ID})
		return nil, timeoutError(ctx)
	}
}

// remainingMillis returns the time until the deadline of ctx in milliseconds, 0 if it has none.
// It is rounded up so that the caller's own deadline expires first; otherwise the server's
// timeout error could be mistaken for a failure of the server.
func remainingMillis(ctx context.Context) uint32 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(0, time.Until(d).Milliseconds()) + remainingMillisMargin)
}

// remainingMillisMargin covers the truncated fraction of a millisecond and the network latency.
const remainingMillisMargin = 2

func (c *conn) addPending(id uint64, reply chan *frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.awaitingSince.IsZero() {
		c.awaitingSince = now
	}
	c.pending[id] = reply
	c.lastUsed = now
}

// noteOneWay records that a one-way message is being sent. A ping follows after oneWayPingDelay,
// so that such messages are not lost for long on a broken connection that the kernel has not
// detected.
func (c *conn) noteOneWay() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUsed = time.Now()
	if c.oneWaySince.IsZero() {
		c.oneWaySince = c.lastUsed
	}
}

func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// ended reports whether the connection has been closed. What is queued on it is not sent any more.
func (c *conn) ended() bool {
	select {
	case <-c.done:
		return true
	default:
		return false
	}
}

func (c *conn) enqueue(f *frame) error {
	c.unsent.Add(1)
	select {
	case c.outbox <- f:
		return nil
	default:
		c.unsent.Add(-1)
		return fault.New(fault.Overloaded, "retry later or use another VM", "send queue of the peer connection is full")
	}
}

func (c *conn) writeLoop() {
	defer c.t.wg.Done()
	defer c.discardQueued()
	w := bufio.NewWriter(c.nc)
	var buffered int64
	for {
		select {
		case <-c.done:
			return
		case f := <-c.outbox:
			err := c.write(w, f)
			c.releaseQueued(f)
			buffered++
			if w.Buffered() == 0 {
				c.unsent.Add(-buffered)
				buffered = 0
			}
			if err == nil {
				continue
			}
			c.close(fault.Wrap(err, fault.Unavailable, "retry or use another VM", "peer write", fault.WithExecution(fault.ExecutionUnknown)))
			return
		}
	}
}

func (c *conn) write(w *bufio.Writer, f *frame) error {
	raw, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(InactivityTimeout)); err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return err
	}
	c.t.opts.CountFrame(true, f.Kind, len(raw))
	if len(c.outbox) > 0 {
		return nil
	}
	return w.Flush()
}

// keepAlive pings a connection that awaits a response. It returns an error if the connection is
// unresponsive or has been idle for too long.
func (c *conn) keepAlive() error {
	c.mu.Lock()
	if len(c.pending) > 0 && c.awaitingSince.IsZero() {
		c.awaitingSince = time.Now()
	}
	if c.awaitingSince.IsZero() && !c.oneWaySince.IsZero() && time.Since(c.oneWaySince) >= oneWayPingDelay {
		c.awaitingSince = time.Now()
	}
	awaiting, awaitingFor := !c.awaitingSince.IsZero(), time.Since(c.awaitingSince)
	idle := time.Since(c.lastUsed)
	c.mu.Unlock()
	switch {
	case !awaiting && !(c.dialed && idle > IdleTimeout):
		return nil
	case (!awaiting || awaitingFor > InactivityTimeout) && tcpconn.Readable(c.nc):
		return nil // a frame has arrived that this process has had no time to read
	case !awaiting:
		return errIdle
	case awaitingFor > InactivityTimeout:
		return errUnresponsive
	}
	_ = c.enqueue(&frame{Type: framePing}) // if the queue is full, the connection is awaiting already
	return nil
}

var (
	errIdle         = fault.New(fault.Unavailable, "none needed: the next call dials again", "peer connection idle")
	errReplaced     = fault.New(fault.Unavailable, "none needed: the next call uses the new connection", "the VM has restarted")
	errUnresponsive = fault.New(fault.Unavailable, "none needed: the next call dials again", "no response on peer connection")
)

func (c *conn) readLoop() {
	defer c.t.wg.Done()
	in := receiver{c: c, r: bufio.NewReader(c.nc)}
	for {
		f, n, err := in.next()
		if err != nil {
			c.close(fault.Wrap(err, fault.Unavailable, "retry or use another VM", "peer read", fault.WithExecution(fault.ExecutionUnknown)))
			return
		}
		c.t.opts.CountFrame(false, f.Kind, n)
		c.mu.Lock()
		c.awaitingSince, c.oneWaySince, c.lastReceived = time.Time{}, time.Time{}, time.Now()
		if f.Type == frameCall || f.Type == frameOneWay {
			c.lastUsed = time.Now()
		}
		c.mu.Unlock()
		if !c.dispatch(f) {
			c.release(f)
		}
	}
}

// dispatch handles a frame. It returns true if the frame is handled on and releases its memory later.
func (c *conn) dispatch(f *frame) (continues bool) {
	switch f.Type {
	case frameHello:
		c.receiveHello(f)
	case frameReply:
		c.mu.Lock()
		reply := c.pending[f.ID]
		delete(c.pending, f.ID)
		c.mu.Unlock()
		if reply != nil {
			reply <- f
		}
	case frameCall, frameOneWay:
		return c.serve(f)
	case frameCancel:
		c.mu.Lock()
		cancel := c.serving[f.ID]
		c.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case framePing:
		_ = c.enqueue(&frame{Type: framePong})
	case framePong:
	}
	return false
}

func (c *conn) serve(f *frame) (continues bool) {
	h := c.t.handlers[f.Kind]
	if h == nil {
		c.reply(f, nil, fault.New(fault.NotFound, "run the same release on all VMs", "no handler for this message kind"))
		return false
	}
	if f.Type == frameOneWay && c.t.inOrder[f.Kind] {
		err := error(errNoMemory)
		if c.admit(f, 0) {
			_, err = c.t.handle(c.t.ctx, h, f, c.remoteVM())
		}
		if err != nil {
			c.logUnhandled(f, err)
		}
		return false
	}
	if f.Type == frameCall && c.t.draining.Err() != nil {
		c.reply(f, nil, errStopping)
		return false
	}
	if !c.admit(f, callCost) {
		c.reply(f, nil, errNoMemory)
		return false
	}
	select {
	case c.t.inbound <- struct{}{}:
	default:
		c.reply(f, nil, fault.New(fault.Overloaded, "retry later or use another VM", "too many concurrent calls"))
		return false
	}
	ctx, cancel := c.serveContext(f)
	c.mu.Lock()
	remote := c.remote
	if f.Type == frameCall {
		c.serving[f.ID] = cancel
	}
	c.mu.Unlock()
	c.t.addActive(1)
	c.t.wg.Add(1)
	go func() {
		defer c.t.wg.Done()
		defer c.t.addActive(-1)
		defer func() { <-c.t.inbound }()
		out, err := c.handleCall(ctx, h, f, remote)
		c.release(f)
		c.mu.Lock()
		delete(c.serving, f.ID)
		c.mu.Unlock()
		cancel()
		c.reply(f, out, err)
	}()
	return true
}

func (c *conn) serveContext(f *frame) (context.Context, context.CancelFunc) {
	if f.TimeoutMillis == 0 {
		return context.WithCancel(c.t.ctx)
	}
	return context.WithTimeout(c.t.ctx, time.Duration(f.TimeoutMillis)*time.Millisecond)
}

func (c *conn) reply(f *frame, body []byte, err error) {
	if f.Type != frameCall {
		return
	}
	r := &frame{Type: frameReply, Kind: f.Kind, ID: f.ID, Body: body}
	if err != nil {
		d := fault.DetailOf(err)
		r.Fault = &d
	}
	c.enqueueReply(r)
}
