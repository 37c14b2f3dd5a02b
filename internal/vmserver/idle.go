package vmserver

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleCloser closes callers' connections that are idle for longer than the configuration in force
// allows. The idle timeout of net/http cannot be changed once its server has started.
type idleCloser struct {
	// timeout returns the idle timeout in force, 0 for none.
	timeout func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleCloser(timeout func() time.Duration) *idleCloser {
	return &idleCloser{timeout: timeout, timers: map[net.Conn]*time.Timer{}}
}

// connState is called on each state change of a connection.
func (ic *idleCloser) connState(c net.Conn, state http.ConnState) {
	ic.mu.Lock()
	defer ic.mu.Unlock()
	if t := ic.timers[c]; t != nil {
		t.Stop()
		delete(ic.timers, c)
	}
	if d := ic.timeout(); state == http.StateIdle && d > 0 {
		ic.timers[c] = time.AfterFunc(d, func() { _ = c.Close() })
	}
}
