package callerconn

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// state is what a connection is doing.
type state int

const (
	// awaiting means that no byte of the next request has been read.
	awaiting state = iota
	// receiving means that the next request has been read in part, or whole but not yet parsed.
	receiving
	// serving means that a request has been parsed and its handler has not ended.
	serving
)

// String implements fmt.Stringer.
func (s state) String() string { return [...]string{"awaiting", "receiving", "serving"}[s] }

// conn is a caller's connection.
type conn struct {
	net.Conn
	server *Server

	mu       sync.Mutex
	state    state
	lastRead time.Time
	closed   *closure
}

// closure is what was known of a connection when this process closed it.
type closure struct {
	at       time.Time
	lastRead time.Time
	state    state
	step     string
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.received()
	}
	return n, err
}

func (c *conn) received() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = time.Now()
	if c.state == awaiting {
		c.state = receiving
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	step := c.server.currentStep()
	c.mu.Lock()
	if c.closed == nil {
		c.closed = &closure{at: time.Now(), lastRead: c.lastRead, state: c.state, step: step}
	}
	c.mu.Unlock()
	return c.Conn.Close()
}

// closure returns what was known when this process closed the connection, nil if it has not.
func (c *conn) closure() *closure {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// changeState follows the state changes that net/http reports.
func (c *conn) changeState(s http.ConnState) {
	switch s {
	case http.StateActive:
		c.setState(serving)
	case http.StateIdle:
		c.setState(awaiting)
	case http.StateClosed, http.StateHijacked:
		c.server.forget(c)
	}
}

func (c *conn) setState(s state) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state = s
}
