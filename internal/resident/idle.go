package resident

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleLimit closes callers' connections that stay unused for longer than the configuration in
// force allows; net/http's own limit is fixed when its server starts.
type idleLimit struct {
	// limit gives the time in force, 0 for none.
	limit func() time.Duration

	mu     sync.Mutex
	timers map[net.Conn]*time.Timer
}

func newIdleLimit(limit func() time.Duration) *idleLimit {
	return &idleLimit{limit: limit, timers: map[net.Conn]*time.Timer{}}
}

// hook follows the state of a connection.
func (l *idleLimit) hook(c net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t := l.timers[c]; t != nil {
		t.Stop()
		delete(l.timers, c)
	}
	if d := l.limit(); state == http.StateIdle && d > 0 {
		l.timers[c] = time.AfterFunc(d, func() { _ = c.Close() })
	}
}
