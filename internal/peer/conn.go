package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/sockets"
)

// conn is one connection, dialled or accepted. One goroutine reads, one writes.
type conn struct {
	t       *Transport
	addr    netip.AddrPort
	nc      net.Conn
	outbox  chan *frame
	ready   chan struct{}
	done    chan struct{}
	onClose func()

	mu      sync.Mutex
	err     error
	pending map[uint64]chan *frame
	serving map[uint64]context.CancelFunc
	// unanswered is when the first call or ping since the last frame read was sent, zero for
	// none. It outlives a call that gave up, so that short calls find a silent connection too.
	unanswered time.Time
	// told is when the first message without a reply since the last frame read was sent, zero
	// for none.
	told    time.Time
	lastUse time.Time
	from    ident.VM
}

func newConn(t *Transport, nc net.Conn) *conn {
	now := time.Now()
	c := &conn{
		t:       t,
		nc:      nc,
		outbox:  make(chan *frame, OutboxFrames),
		ready:   make(chan struct{}),
		done:    make(chan struct{}),
		onClose: func() {},
		pending: map[uint64]chan *frame{},
		serving: map[uint64]context.CancelFunc{},
		lastUse: now,
	}
	return c
}

func newDialing(t *Transport, addr netip.AddrPort) *conn {
	c := newConn(t, nil)
	c.addr = addr
	c.onClose = func() { t.forget(addr, c) }
	return c
}

// dial runs in its own goroutine, counted by the transport's wait group.
func (c *conn) dial() {
	defer c.t.wg.Done()
	ctx, cancel := context.WithTimeout(c.t.ctx, DialTimeout)
	defer cancel()
	nc, err := c.open(ctx)
	if err != nil {
		c.shut(fault.Wrap(err, fault.Unavailable, "check that the VM runs and that its port is open", "dial "+c.addr.String()))
		return
	}
	c.mu.Lock()
	if c.err != nil {
		c.mu.Unlock()
		_ = nc.Close()
		return
	}
	c.nc = nc
	c.unanswered, c.told = time.Time{}, time.Time{}
	c.mu.Unlock()
	c.start()
}

func (c *conn) open(ctx context.Context) (net.Conn, error) {
	d := sockets.Dialer(DialTimeout)
	if c.t.opts.TLS != nil {
		over := tls.Dialer{NetDialer: &d, Config: c.t.opts.TLS}
		return over.DialContext(ctx, "tcp", c.addr.String())
	}
	return d.DialContext(ctx, "tcp", c.addr.String())
}

func (c *conn) start() {
	c.outbox <- &frame{Type: frameHello, From: &c.t.opts.Self}
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
		return c.failure()
	case <-ctx.Done():
		return timeout(ctx)
	}
}

func timeout(ctx context.Context) error {
	return fault.Wrap(ctx.Err(), fault.Timeout, "try again or ask another VM", "peer call", fault.WithRun(fault.RunUnknown))
}

func (c *conn) failure() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// shut ends the connection with a cause; only the first cause counts. The transport forgets
// the connection before its calls fail, so that a call made after that dials again.
func (c *conn) shut(err error) {
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
	f := &frame{Type: frameCall, Kind: kind, ID: c.t.nextID.Add(1), Body: body, BudgetMillis: budget(ctx)}
	reply := make(chan *frame, 1)
	c.addPending(f.ID, reply)
	defer c.dropPending(f.ID)
	if err := c.enqueue(f); err != nil {
		return nil, err
	}
	select {
	case r := <-reply:
		if r.Fault != nil {
			return nil, r.Fault.Error()
		}
		return r.Body, nil
	case <-c.done:
		return nil, c.failure()
	case <-ctx.Done():
		_ = c.enqueue(&frame{Type: frameCancel, ID: f.ID})
		return nil, timeout(ctx)
	}
}

// budget gives the time that the caller still waits, in milliseconds. It is rounded up, so that
// the caller's own deadline comes first and the server's answer that time is over is not taken
// for a failure of the server.
func budget(ctx context.Context) uint32 {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return uint32(max(0, time.Until(d).Milliseconds()) + budgetRounding)
}

// budgetRounding is added for the part of a millisecond that is cut off, and for the way.
const budgetRounding = 2

func (c *conn) addPending(id uint64, reply chan *frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if c.unanswered.IsZero() {
		c.unanswered = now
	}
	c.pending[id] = reply
	c.lastUse = now
}

// expectSign notes a message that has no reply: a ping follows in time, so that a connection
// whose silence the kernel does not find cannot swallow such messages for long.
func (c *conn) expectSign() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastUse = time.Now()
	if c.told.IsZero() {
		c.told = c.lastUse
	}
}

func (c *conn) dropPending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

func (c *conn) enqueue(f *frame) error {
	select {
	case c.outbox <- f:
		return nil
	default:
		return fault.New(fault.Overloaded, "slow down or ask another VM", "peer connection's outbox is full")
	}
}

func (c *conn) writeLoop() {
	defer c.t.wg.Done()
	w := bufio.NewWriter(c.nc)
	ping := time.NewTicker(PingPeriod)
	defer ping.Stop()
	for {
		var err error
		select {
		case <-c.done:
			return
		case f := <-c.outbox:
			err = c.write(w, f)
		case <-ping.C:
			err = c.keepAlive(w)
		}
		if err != nil {
			c.shut(fault.Wrap(err, fault.Unavailable, "try again or ask another VM", "peer write", fault.WithRun(fault.RunUnknown)))
			return
		}
	}
}

func (c *conn) write(w *bufio.Writer, f *frame) error {
	raw, err := encodeFrame(f)
	if err != nil {
		return err
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(SilenceLimit)); err != nil {
		return err
	}
	if _, err := w.Write(raw); err != nil {
		return err
	}
	c.t.opts.Counter(true, f.Kind, len(raw))
	if len(c.outbox) > 0 {
		return nil
	}
	return w.Flush()
}

// keepAlive pings a connection with work outstanding and ends a silent or unused one.
func (c *conn) keepAlive(w *bufio.Writer) error {
	c.mu.Lock()
	if len(c.pending) > 0 && c.unanswered.IsZero() {
		c.unanswered = time.Now()
	}
	if c.unanswered.IsZero() && !c.told.IsZero() && time.Since(c.told) >= toldLimit {
		c.unanswered = time.Now()
	}
	waits, silent := !c.unanswered.IsZero(), time.Since(c.unanswered)
	unused := time.Since(c.lastUse)
	c.mu.Unlock()
	if !waits {
		if c.addr.IsValid() && unused > IdleLimit {
			return errIdle
		}
		return nil
	}
	if silent > SilenceLimit {
		return errSilent
	}
	return c.write(w, &frame{Type: framePing})
}

var (
	errIdle   = fault.New(fault.Unavailable, "none needed: the next call dials again", "connection unused")
	errSilent = fault.New(fault.Unavailable, "none needed: the next call dials again", "connection silent")
)

func (c *conn) readLoop() {
	defer c.t.wg.Done()
	r := bufio.NewReader(c.nc)
	for {
		f, n, err := readFrame(r)
		if err != nil {
			c.shut(fault.Wrap(err, fault.Unavailable, "try again or ask another VM", "peer read", fault.WithRun(fault.RunUnknown)))
			return
		}
		c.t.opts.Counter(false, f.Kind, n)
		c.mu.Lock()
		c.unanswered, c.told = time.Time{}, time.Time{}
		c.mu.Unlock()
		c.dispatch(f)
	}
}

func (c *conn) dispatch(f *frame) {
	switch f.Type {
	case frameHello:
		if f.From != nil {
			c.mu.Lock()
			c.from = *f.From
			c.mu.Unlock()
		}
	case frameReply:
		c.mu.Lock()
		reply := c.pending[f.ID]
		delete(c.pending, f.ID)
		c.mu.Unlock()
		if reply != nil {
			reply <- f
		}
	case frameCall, frameOneWay:
		c.serve(f)
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
}

func (c *conn) serve(f *frame) {
	h := c.t.handlers[f.Kind]
	if h == nil {
		c.reply(f, nil, fault.New(fault.NotFound, "run the same release on all VMs", "no handler for this kind of message"))
		return
	}
	select {
	case c.t.inbound <- struct{}{}:
	default:
		c.reply(f, nil, fault.New(fault.Overloaded, "slow down or ask another VM", "too many calls at once"))
		return
	}
	ctx, cancel := c.serveContext(f)
	c.mu.Lock()
	from := c.from
	if f.Type == frameCall {
		c.serving[f.ID] = cancel
	}
	c.mu.Unlock()
	c.t.wg.Add(1)
	go func() {
		defer c.t.wg.Done()
		defer func() { <-c.t.inbound }()
		out, err := h(ctx, from, f.Body)
		c.mu.Lock()
		delete(c.serving, f.ID)
		c.mu.Unlock()
		cancel()
		c.reply(f, out, err)
	}()
}

func (c *conn) serveContext(f *frame) (context.Context, context.CancelFunc) {
	if f.BudgetMillis == 0 {
		return context.WithCancel(c.t.ctx)
	}
	return context.WithTimeout(c.t.ctx, time.Duration(f.BudgetMillis)*time.Millisecond)
}

func (c *conn) reply(f *frame, body []byte, err error) {
	if f.Type != frameCall {
		return
	}
	r := &frame{Type: frameReply, Kind: f.Kind, ID: f.ID, Body: body}
	if err != nil {
		d := fault.Describe(err)
		r.Fault = &d
	}
	_ = c.enqueue(r)
}
