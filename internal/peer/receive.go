package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"io"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/codec"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// maxFirstFrameBytes is the maximum size of the first frame of an accepted connection: the sender's name and address.
	maxFirstFrameBytes = 1 << 10
	// smallFrameBytes is the size of frames that take nothing from the memory while they are read: the memory of their connection
	// is bounded by the number of connections.
	smallFrameBytes = 4 << 10
	// frameTimeout is the maximum time from the first byte of a frame to its last one. VMs send a frame at once.
	frameTimeout = 10 * time.Second
	// callCost is the memory of a call that is being handled, besides its frame: mostly the stack of its goroutine.
	callCost = 8 << 10
)

// receiver reads the frames of a connection after the first one.
type receiver struct {
	c *conn
	r *bufio.Reader
}

// next reads the next frame, waiting without limit for its first byte. n is its size. Its memory is held until it is given back.
func (v *receiver) next() (f *frame, n int, err error) {
	if _, err := v.r.Peek(1); err != nil {
		return nil, 0, err
	}
	if !v.c.dialed && !v.arrived() {
		if err := v.c.nc.SetReadDeadline(time.Now().Add(frameTimeout)); err != nil {
			return nil, 0, err
		}
		defer func() {
			if err == nil {
				err = v.c.nc.SetReadDeadline(time.Time{})
			}
		}()
	}
	n, err = readLength(v.r, MaxFrameBytes)
	if err != nil {
		return nil, 0, err
	}
	f, err = v.frame(n)
	return f, n + lengthBytes, err
}

// arrived reports whether the next frame is in the buffer.
func (v *receiver) arrived() bool {
	if v.r.Buffered() < lengthBytes {
		return false
	}
	head, err := v.r.Peek(lengthBytes)
	return err == nil && uint64(v.r.Buffered()) >= lengthBytes+uint64(binary.BigEndian.Uint32(head))
}

// frame reads a frame of n bytes. It takes memory as they arrive, and the frame holds what its body needs.
func (v *receiver) frame(n int) (*frame, error) {
	body := make([]byte, min(n, smallFrameBytes))
	if _, err := io.ReadFull(v.r, body); err != nil {
		return nil, err
	}
	if n <= smallFrameBytes {
		return decodeFrame(body)
	}
	m := v.c.t.memory
	reading := m.begin(func() { v.c.close(errNoMemory) })
	defer reading.end()
	for len(body) < n {
		read := len(body)
		if body = reading.grow(body, min(2*read, n)); body == nil {
			v.c.t.refused(reasonMemory)
			return nil, errNoMemory
		}
		if _, err := io.ReadFull(v.r, body[read:]); err != nil {
			return nil, err
		}
	}
	if !reading.takeForBody(n) {
		v.c.t.refused(reasonMemory)
		return nil, errNoMemory
	}
	f, err := decodeFrame(body)
	if err != nil {
		m.give(n)
		return nil, err
	}
	f.held = n // its body is a copy
	return f, nil
}

var (
	errNoMemory = fault.New(fault.Overloaded, "retry later or use another VM", "the memory for messages of other VMs is used up")
	errNoHello  = fault.New(fault.Malformed, "run the same release on all VMs", "the first frame of a connection is not a hello")
)

// admit takes the memory that a received message needs while it is handled, and adds it to what its frame holds.
func (c *conn) admit(f *frame, cost int) bool {
	if len(f.Body) > smallFrameBytes {
		cost += codec.DecodedBytes(f.Body)
	}
	if !c.t.memory.take(cost) {
		c.t.refused(reasonMemory)
		return false
	}
	f.held += cost
	return true
}

// release returns what a frame holds.
func (c *conn) release(f *frame) {
	if f.held == 0 {
		return // a broadcast, which several connections send, holds nothing
	}
	c.t.memory.give(f.held)
	f.held = 0
}

// enqueueReply queues a reply, which takes from the memory until it is written. A reply for which there is no room is replaced by an
// error; if there is none for that either, the connection is closed, as the other side does not read.
func (c *conn) enqueueReply(r *frame) {
	if !c.holdReply(r) {
		c.t.refused(reasonReplies)
		d := fault.DetailOf(errNoMemory)
		r.Body, r.Fault = nil, &d
		if !c.holdReply(r) {
			c.close(errNoMemory)
			return
		}
	}
	if c.enqueue(r) != nil {
		c.releaseQueued(r)
		return
	}
	if c.ended() {
		c.discardQueued()
	}
}

func (c *conn) holdReply(r *frame) bool {
	n := len(r.Body) + replyCost
	if !c.t.memory.take(n) {
		return false
	}
	r.held = n
	c.replyBytes.Add(int64(n))
	return true
}

// releaseQueued returns what a queued frame holds.
func (c *conn) releaseQueued(f *frame) {
	if f.held > 0 {
		c.replyBytes.Add(-int64(f.held))
		c.release(f)
	}
}

// handleCall runs the handler of a call or a one-way message, unless replies are queued for a connection that is not read: to run it
// would only make garbage, faster than it is collected.
func (c *conn) handleCall(ctx context.Context, h Handler, f *frame, from ident.VM) ([]byte, error) {
	if c.replyBytes.Load() > maxQueuedReplyBytes {
		c.t.refused(reasonReplies)
		return nil, errNoMemory
	}
	return c.t.handle(ctx, h, f, from)
}

// maxQueuedReplyBytes is the size of the replies queued on a connection from which no more calls are run.
const maxQueuedReplyBytes = 512 << 10

// replyCost is the memory of a queued reply besides its body.
const replyCost = 256

// discardQueued returns the memory of the frames that are queued on a connection that has ended.
func (c *conn) discardQueued() {
	for {
		select {
		case f := <-c.outbox:
			c.releaseQueued(f)
		default:
			return
		}
	}
}

// logUnhandled logs that a one-way message was not handled.
func (c *conn) logUnhandled(f *frame, err error) {
	c.t.refused(reasonMessage)
	if c.t.messageLog.due() {
		c.t.opts.Log.Warn("peer message not handled", zap.Uint8("kind", uint8(f.Kind)), zap.Stringer("vm", c.remoteVM()), zap.Error(err))
	}
}
