package peer

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// silentTime is how long an accepted connection must have sent nothing before it gives way to another one. VMs of the fleet send
	// heartbeats more often.
	silentTime = InactivityTimeout
	// unnamedTime is how long an accepted connection without a first frame is kept when there are many of them.
	unnamedTime = 500 * time.Millisecond
	// unnamedFraction is the part of the accepted connections that may be without a first frame, as its inverse.
	unnamedFraction = 4
	// unnamedCheckPeriod is the time between two looks whether another connection may be accepted.
	unnamedCheckPeriod = 10 * time.Millisecond
	// acceptRetryDelay is the time after an accept that failed for want of descriptors or memory.
	acceptRetryDelay = 50 * time.Millisecond
)

// guest is an accepted connection.
type guest struct {
	addr netip.Addr
	at   time.Time
	// conn is set once the connection carries messages, stream once it carries a stream.
	conn   *conn
	stream bool
}

// unnamed reports whether no first frame has come.
func (g *guest) unnamed() bool { return g.conn == nil && !g.stream }

// retryAccept reports whether the listener may accept connections later, and waits until it is to be asked again. Without it the
// listener would end for good when there are no descriptors left.
func (t *Transport) retryAccept(err error) bool {
	t.refused(reasonAccept)
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			t.warnFull("connection of another vm not accepted", err)
			return clock.Sleep(t.ctx, acceptRetryDelay)
		}
	}
	return false
}

// warnFull logs that a bound has been met.
func (t *Transport) warnFull(message string, err error) {
	if t.boundLog.due() {
		t.opts.Log.Warn(message, zap.Int("connections", t.opts.Limits.Connections), zap.Int("held_bytes", t.memory.inUse()), zap.Error(err),
			zap.String("remedy", "look who connects to the address for other VMs; see fulmartide_peer_refusals_total"))
	}
}

var (
	errTooMany  = errors.New("too many connections")
	errGivesWay = errors.New("the connection sent nothing and gave way to another one")
)

// awaitRoom waits until another connection may be accepted. Connections whose first frame has not come for unnamedTime give way.
func (t *Transport) awaitRoom(ctx context.Context) {
	for t.manyUnnamed() && clock.Sleep(ctx, unnamedCheckPeriod) {
		continue
	}
}

// manyUnnamed reports whether as many connections as allowed are without a first frame, and closes those that are old.
func (t *Transport) manyUnnamed() bool {
	if int(t.unnamed.Load()) < max(1, t.opts.Limits.Connections/unnamedFraction) {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for nc, g := range t.accepted {
		if g.unnamed() && time.Since(g.at) > unnamedTime {
			_ = nc.Close() // its reader forgets it
			t.refused(reasonUnnamed)
		}
	}
	return true
}

// admitGuest adds an accepted connection unless there are too many. It returns the one that gives way to it, nil if none has to. t.mu must be
// held.
func (t *Transport) admitGuest(nc net.Conn) (admitted bool, givesWay *conn) {
	addr := remoteAddr(nc)
	if t.perAddress[addr] >= t.opts.Limits.PerAddress {
		if givesWay = t.mostSilent(func(g *guest) bool { return g.addr == addr }); givesWay == nil {
			t.refused(reasonPerAddress)
			return false, nil
		}
	} else if len(t.accepted) >= t.opts.Limits.Connections {
		if givesWay = t.mostSilent(func(*guest) bool { return true }); givesWay == nil {
			t.refused(reasonConnections)
			return false, nil
		}
	}
	t.accepted[nc] = &guest{addr: addr, at: time.Now()}
	t.perAddress[addr]++
	t.unnamed.Add(1)
	return true, givesWay
}

// mostSilent returns the connection for messages from which nothing has come for the longest time, nil if none has been silent for
// silentTime. t.mu must be held.
func (t *Transport) mostSilent(eligible func(*guest) bool) (found *conn) {
	since := time.Now().Add(-silentTime)
	for _, g := range t.accepted {
		if g.conn == nil || g.conn.ended() || !eligible(g) {
			continue
		}
		if last := g.conn.receivedAt(); last.Before(since) {
			found, since = g.conn, last
		}
	}
	return found
}

// name notes that the first frame of an accepted connection has come. c is nil for a stream.
func (t *Transport) name(nc net.Conn, c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.accepted[nc]
	if g == nil || !g.unnamed() {
		return
	}
	g.conn, g.stream = c, c == nil
	t.unnamed.Add(-1)
}

// forgetGuest removes an accepted connection. t.mu must be held.
func (t *Transport) forgetGuest(nc net.Conn) {
	g := t.accepted[nc]
	if g == nil {
		return
	}
	delete(t.accepted, nc)
	if g.unnamed() {
		t.unnamed.Add(-1)
	}
	if t.perAddress[g.addr]--; t.perAddress[g.addr] == 0 {
		delete(t.perAddress, g.addr)
	}
}

// remoteAddr returns the address of the other side, the zero value if it has none.
func remoteAddr(nc net.Conn) netip.Addr {
	if a, ok := nc.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (c *conn) receivedAt() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastReceived
}
