package callerconn

import (
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fulmartide/fulmartide/internal/connbudget"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
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

// conn is a caller's connection. To end it, the server interrupts its Read by a deadline in the past; Read then takes what
// has arrived, and reports the end of the connection only if nothing has.
type conn struct {
	net.Conn
	server *Server
	// account is what the connection holds of the process's memory for connections.
	account *connbudget.Account
	// evicted is set while the connection is to end in favour of others.
	evicted atomic.Bool
	// mayCut is set while a request is served whose connection may be closed at once; see Options.MayCut.
	mayCut atomic.Bool
	// writeEnded is set once the last response has been sent: what is left is to give the caller time to read it.
	writeEnded atomic.Bool

	mu    sync.Mutex
	state state
	// fresh is set until the first request has been parsed.
	fresh bool
	// early is set if the first byte of the next request has been read while a request was being served.
	early bool
	// peerEnded is set once the caller has ended the connection.
	peerEnded bool
	// tls is set if TLS is used on the connection.
	tls bool
	// multiplexed is set if the connection carries several requests at a time (HTTP/2), which its protocol ends.
	multiplexed bool
	// deadline is the read deadline that net/http has set. It is not in force while interrupted is set.
	deadline       time.Time
	interrupted    bool
	idleSince      time.Time
	receivingSince time.Time
	lastRead       time.Time
	closed         *closeRecord
	// handled is set while a connection of HTTP/1 is in state serving and the handler has ended.
	handled bool
	// bodyEnded is set if the connection was ended in favour of others while the body of the current request arrived. The handler
	// gets the error, and its answer is sent.
	bodyEnded bool
	// headBytes is how much of a request that is received has been read.
	headBytes int64
}

// closeRecord is what was known of a connection when this process closed it.
type closeRecord struct {
	at       time.Time
	lastRead time.Time
	state    state
	phase    phase
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.read(p)
		timedOut := n == 0 && errors.Is(err, os.ErrDeadlineExceeded)
		if timedOut && c.readsRequest() {
			n, err = c.readArrived(p, err)
		} else if timedOut && (len(p) == backgroundReadSize || c.server.encrypted) && c.undoEviction() {
			continue // the connection was to end after its request had been parsed
		} else if n == 0 && !timedOut {
			c.setPeerEnded()
		}
		if n > 0 {
			c.received(len(p))
			if refusal := c.countHead(p[:n]); refusal != nil {
				return 0, refusal
			}
		}
		if n > 0 || !errors.Is(err, errWaitOn) {
			return n, err
		}
	}
}

// errWaitOn makes Read wait again, with a later deadline.
var errWaitOn = errors.New("the idle timeout has been extended")

// readsRequest reports whether the connection reads a request, and not the body of one that is being served.
func (c *conn) readsRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state != serving && !c.multiplexed
}

// readArrived reads what has arrived although the deadline has passed. If nothing has, it ends the connection and returns the error
// that says so, or errWaitOn.
func (c *conn) readArrived(p []byte, timeout error) (int, error) {
	c.mu.Lock()
	if c.state == receiving && c.evicted.Load() {
		c.mu.Unlock()
		return 0, timeout
	}
	waitsOn, idle, look := c.waitsOn(), c.state == awaiting && (c.interrupted || !c.fresh), tcpconn.ReadArrived
	if !waitsOn && !c.tls {
		// A request that arrives after the look, before net/http closes the connection, would be lost.
		look = tcpconn.ReadArrivedOrEnd
	}
	c.mu.Unlock()
	n, err := look(c.Conn, p)
	switch {
	case n > 0 || err != nil && !errors.Is(err, io.EOF):
		return n, err
	case idle && !waitsOn:
		return 0, io.EOF
	case !waitsOn:
		return 0, timeout
	case err != nil:
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.applyDeadline(); err != nil {
		return 0, err
	}
	return 0, errWaitOn
}

// waitsOn reports whether a configuration has made the idle timeout longer since the connection became idle. c.mu must be held.
func (c *conn) waitsOn() bool {
	if c.state != awaiting || c.fresh || c.interrupted {
		return false
	}
	limit := c.server.idleLimit()
	return limit <= 0 || time.Since(c.idleSince) < limit
}

// received follows a Read with a buffer of size bytes that returned data.
func (c *conn) received(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastRead = time.Now()
	switch c.state {
	case serving:
		c.early = c.early || size == backgroundReadSize
	case awaiting:
		c.startReceiving()
	case receiving:
		if c.interrupted && !c.due() {
			_ = c.applyDeadline() // a connection without deadlines fails in the next Read
		}
	}
}

// backgroundReadSize is the size of the buffer with which net/http reads beside a handler, once the handler has read the body.
const backgroundReadSize = 1

// startReceiving notes that the next request has begun to arrive. c.mu must be held.
func (c *conn) startReceiving() {
	c.state, c.receivingSince, c.headBytes = receiving, time.Now(), 0
	if c.account.Receive() {
		c.evicted.Store(false)
	}
	_ = c.applyDeadline() // a connection without deadlines fails in the next Read
}

// setPeerEnded notes that the caller has ended the connection.
func (c *conn) setPeerEnded() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peerEnded = true
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.deadline = t
	return c.applyDeadline()
}

// applyDeadline sets the read deadline for the state of the connection and the phase of the server. c.mu must be held.
func (c *conn) applyDeadline() error {
	c.interrupted = c.due()
	t := c.deadline
	switch {
	case c.interrupted:
		t = past
	case c.state == awaiting && !c.fresh && !c.multiplexed:
		t = time.Time{}
		if limit := c.server.idleLimit(); limit > 0 {
			t = c.idleSince.Add(limit)
		}
	case c.state == receiving:
		t = c.headDeadline()
	}
	err := c.Conn.SetReadDeadline(t)
	if !c.interrupted && c.due() { // evicted meanwhile
		c.interrupted = true
		return c.Conn.SetReadDeadline(past)
	}
	return err
}

// headDeadline returns the read deadline of a header, which counts from its first byte. net/http sets one only once it has read four
// bytes, and then begins anew. The first bytes of a connection with TLS are the handshake, which has a deadline of its own. c.mu must be
// held.
func (c *conn) headDeadline() time.Time {
	limit := c.server.http.ReadHeaderTimeout
	if limit <= 0 || c.fresh && c.server.encrypted && !c.deadline.IsZero() {
		return c.deadline
	}
	t := c.receivingSince.Add(limit)
	if !c.deadline.IsZero() && c.deadline.Before(t) {
		return c.deadline
	}
	return t
}

// past is a read deadline that interrupts Read.
var past = time.Unix(1, 0)

// due reports whether the phase of the server ends the connection in its state. c.mu must be held.
func (c *conn) due() bool {
	if c.state == serving {
		return c.bodyEnded
	}
	if c.evicted.Load() {
		return true
	}
	if c.multiplexed {
		return false
	}
	p := c.server.phaseNow()
	switch {
	case p >= phaseGivingUp:
		return true
	case p >= phaseEndingNew:
		return c.state == awaiting
	default:
		return p >= phaseEndingIdle && c.state == awaiting && !c.fresh
	}
}

// interruptIfDue makes Read return if the phase of the server ends the connection.
func (c *conn) interruptIfDue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted && c.due() {
		_ = c.applyDeadline() // fails if the connection has ended meanwhile
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.mu.Lock()
	if c.closed == nil && !c.peerEnded {
		c.closed = &closeRecord{at: time.Now(), lastRead: c.lastRead, state: c.state, phase: c.server.phaseNow()}
	}
	c.mu.Unlock()
	c.account.Close()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http uses it so that a response to a request that was not read to its end is not
// lost by a reset.
func (c *conn) CloseWrite() error {
	var err error
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		err = cw.CloseWrite()
	}
	c.writeEnded.Store(true)
	if c.evicted.Load() {
		c.account.Close()
		return c.Conn.Close()
	}
	return err
}

// closeRecord returns what was known when this process closed the connection, nil if it has not or if the caller has left before.
func (c *conn) closeRecord() *closeRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// changeState follows the state changes that net/http reports for nc, which is the connection or TLS on it.
func (c *conn) changeState(nc net.Conn, s http.ConnState) {
	switch s {
	case http.StateActive:
		c.setState(serving, nc)
	case http.StateIdle:
		c.setState(awaiting, nc)
	case http.StateClosed, http.StateHijacked:
		c.server.forget(c)
	}
}

func (c *conn) setState(s state, nc net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := nc.(*tls.Conn)
	c.tls = ok
	if !c.multiplexed && ok && t.ConnectionState().NegotiatedProtocol == protocolHTTP2 {
		c.multiplexed = true
		if !c.account.Raise(http2ConnBytes) {
			c.evict()
		}
	}
	c.state, c.fresh, c.handled, c.bodyEnded = s, false, false, false
	c.followState()
	if s == awaiting {
		c.idleSince = time.Now()
		if c.early {
			c.early = false
			c.startReceiving()
			return
		}
	}
	_ = c.applyDeadline() // a connection without deadlines fails in the next Read
}
