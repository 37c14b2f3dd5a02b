package endpoint

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// connTracker tracks open connections by address. When one connection to an address stops
// responding, the other inactive ones are closed too: a device on the path may have lost the state
// of all of them, and the pool must not reuse them.
type connTracker struct {
	dialer net.Dialer

	mu     sync.Mutex
	byAddr map[string]map[*trackedConn]struct{}
}

func newConnTracker() *connTracker {
	return &connTracker{
		dialer: net.Dialer{Timeout: dialTimeout},
		byAddr: make(map[string]map[*trackedConn]struct{}),
	}
}

func (t *connTracker) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	nc, err := t.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: nc, tracker: t, addr: addr}
	c.lastActive.Store(time.Now().UnixNano())
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byAddr[addr] == nil {
		t.byAddr[addr] = make(map[*trackedConn]struct{})
	}
	t.byAddr[addr][c] = struct{}{}
	return c, nil
}

// closeInactive closes the inactive connections to addr: those on which nothing has been received, and no request
// begun, for at least minInactivity.
func (t *connTracker) closeInactive(addr string, minInactivity time.Duration) {
	cutoff := time.Now().Add(-minInactivity).UnixNano()
	var inactive []*trackedConn
	t.mu.Lock()
	for c := range t.byAddr[addr] {
		if c.lastActive.Load() <= cutoff {
			inactive = append(inactive, c)
		}
	}
	t.mu.Unlock()
	for _, c := range inactive {
		if !tcpconn.Readable(c.Conn) { // otherwise data has arrived that this process has had no time to read
			c.Close()
		}
	}
}

func (t *connTracker) remove(c *trackedConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byAddr[c.addr], c)
	if len(t.byAddr[c.addr]) == 0 {
		delete(t.byAddr, c.addr)
	}
}

// trackedConn records when data was last received or sent.
type trackedConn struct {
	net.Conn
	tracker    *connTracker
	addr       string
	lastActive atomic.Int64
}

// Read implements net.Conn.
func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastActive.Store(time.Now().UnixNano())
	}
	return n, err
}

// Write implements net.Conn.
func (c *trackedConn) Write(p []byte) (int, error) {
	c.lastActive.Store(time.Now().UnixNano())
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.tracker.remove(c)
	return c.Conn.Close()
}
