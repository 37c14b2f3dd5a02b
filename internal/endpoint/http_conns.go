package endpoint

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// connSet knows the open connections by address, so that those beside one that went silent
// can be dropped too: a pool must not hand out connections that something on the way forgot.
type connSet struct {
	dialer net.Dialer

	mu     sync.Mutex
	byAddr map[string]map[*watchedConn]struct{}
}

func newConnSet() *connSet {
	return &connSet{
		dialer: net.Dialer{Timeout: dialLimit},
		byAddr: make(map[string]map[*watchedConn]struct{}),
	}
}

func (s *connSet) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	inner, err := s.dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &watchedConn{Conn: inner, set: s, addr: addr}
	c.lastRead.Store(time.Now().UnixNano())
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddr[addr] == nil {
		s.byAddr[addr] = make(map[*watchedConn]struct{})
	}
	s.byAddr[addr][c] = struct{}{}
	return c, nil
}

// closeQuiet closes the connections to addr that gave no byte for at least quiet.
func (s *connSet) closeQuiet(addr string, quiet time.Duration) {
	limit := time.Now().Add(-quiet).UnixNano()
	var old []*watchedConn
	s.mu.Lock()
	for c := range s.byAddr[addr] {
		if c.lastRead.Load() <= limit {
			old = append(old, c)
		}
	}
	s.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

func (s *connSet) remove(c *watchedConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byAddr[c.addr], c)
	if len(s.byAddr[c.addr]) == 0 {
		delete(s.byAddr, c.addr)
	}
}

// watchedConn notes when it last gave a byte.
type watchedConn struct {
	net.Conn
	set      *connSet
	addr     string
	lastRead atomic.Int64
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.lastRead.Store(time.Now().UnixNano())
	}
	return n, err
}

// Close implements net.Conn.
func (c *watchedConn) Close() error {
	c.set.remove(c)
	return c.Conn.Close()
}
