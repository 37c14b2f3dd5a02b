// Package connbudget bounds the memory and the number of the connections that others open to this process. All listeners share one
// budget. A connection reserves memory before what it has sent is parsed; when the budget is used up, connections without a call in
// progress are closed to make room, never others.
package connbudget

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

const (
	// ConnectionBytes is what a connection holds beside the data that it has sent: two goroutine stacks, its buffers and its state.
	ConnectionBytes = 16 << 10
	// smallBytes is what a connection may hold for data without being closed before those that have waited longer.
	smallBytes = 64 << 10
	// endingShare is the part of the connections, as its inverse, that may be open beyond the limit: on their way to their end, as net/http takes
	// up to half a second to close a connection whose request it has refused, or with a request that has undone their end.
	endingShare = 2
	// undoneShare is the part of the connections, as its inverse, that may go on beyond the limit as their end was undone.
	undoneShare = 4
	// headShare is the part of the memory, as its inverse, that calls in progress leave to new connections and their heads.
	headShare = 4
	// logPeriod is the time between two log lines of one reason.
	logPeriod = time.Second
)

// Reasons for which connections are closed, as label of fulmartide_connections_closed_total.
const (
	reasonMemory      = "memory"
	reasonConnections = "connections"
)

// Options configures a Budget.
type Options struct {
	// Bytes bounds the memory of all connections, Connections their number.
	Bytes       int64
	Connections int
	Log         *zap.Logger
	Metrics     *metrics.Set
}

// Budget bounds the memory and the number of connections. It is safe for concurrent use.
type Budget struct {
	opts Options

	mu       sync.Mutex
	used     int64
	accounts map[*Account]struct{}
	// ending is the number of accounts that have been told to end.
	ending int
	logged map[string]logState
}

// logState is when a reason was logged last and how many connections have been closed for it since.
type logState struct {
	at      time.Time
	skipped int
}

// New returns a budget and adds its metrics to o.Metrics.
func New(o Options) *Budget {
	b := &Budget{opts: o, accounts: map[*Account]struct{}{}, logged: map[string]logState{}}
	o.Metrics.GetOrCreateGauge(`fulmartide_connection_bytes`, func() float64 { return float64(b.Used()) })
	o.Metrics.GetOrCreateGauge(`fulmartide_connections`, func() float64 {
		b.mu.Lock()
		defer b.mu.Unlock()
		return float64(len(b.accounts))
	})
	return b
}

// Used returns the reserved memory in bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns the account of a new connection of a listener, nil if there is no room for it. evict ends the connection; it
// must not block nor call the budget, and reports whether the connection is closed already. The account is waiting.
func (b *Budget) Open(listener string, evict func() (closed bool)) *Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := &Account{budget: b, listener: listener, evict: evict, waiting: true, since: time.Now()}
	if !b.admit(a) || !b.makeRoom(ConnectionBytes, a) { // less than smallBytes
		return nil
	}
	b.used += ConnectionBytes
	a.held, a.base = ConnectionBytes, ConnectionBytes
	b.accounts[a] = struct{}{}
	return a
}

// admit makes room for one more connection and reports whether there is. b.mu must be held.
func (b *Budget) admit(a *Account) bool {
	if len(b.accounts)-b.ending < b.opts.Connections {
		return true
	}
	victim := b.longestWaiting(a)
	if victim != nil {
		b.end(victim, reasonConnections)
	}
	if victim == nil || len(b.accounts) >= b.opts.Connections+max(1, b.opts.Connections/endingShare) {
		b.note(a, reasonConnections)
		return false
	}
	return true
}

// shrink ends a connection other than a if ends that were undone leave too little room for connections on their way to their end. b.mu must
// be held.
func (b *Budget) shrink(a *Account) {
	if len(b.accounts)-b.ending <= b.opts.Connections+max(1, b.opts.Connections/undoneShare) {
		return
	}
	if victim := b.longestWaiting(a); victim != nil {
		b.end(victim, reasonConnections)
	}
}

// makeRoom ends connections until n bytes are left for the account a. It reports false if that account is the one to refuse. b.mu must be
// held.
func (b *Budget) makeRoom(n int64, a *Account) bool {
	limit := b.opts.Bytes
	if !a.waiting {
		limit -= limit / headShare
	}
	for b.used+n > limit {
		victim := b.victim(n, a)
		if victim == nil {
			b.note(a, reasonMemory)
			return false
		}
		b.end(victim, reasonMemory)
	}
	return true
}

// victim returns the connection to end for n more bytes of a, nil if a is to be refused: the largest one as long as it is not
// small, else the one that has waited longest. b.mu must be held.
func (b *Budget) victim(n int64, a *Account) *Account {
	var largest *Account
	most := max(smallBytes, a.data()+n)
	for v := range b.accounts {
		if v != a && v.endable() && v.data() > most {
			largest, most = v, v.data()
		}
	}
	if largest != nil || a.waiting && a.data()+n > smallBytes {
		return largest
	}
	return b.longestWaiting(a)
}

// longestWaiting returns the connection other than a that has waited longest, nil if none waits. b.mu must be held.
func (b *Budget) longestWaiting(a *Account) *Account {
	var longest *Account
	for v := range b.accounts {
		if v != a && v.endable() && (longest == nil || v.since.Before(longest.since)) {
			longest = v
		}
	}
	return longest
}

// end ends a connection. Its memory counts as free: its goroutine returns at once. b.mu must be held.
func (b *Budget) end(a *Account, reason string) {
	b.note(a, reason)
	b.used -= a.held
	a.held, a.ended = 0, true
	if a.evict() {
		a.closed = true
		delete(b.accounts, a)
		return
	}
	b.ending++
}

// note counts and logs that a connection is refused or ended. b.mu must be held.
func (b *Budget) note(a *Account, reason string) {
	listener := a.listener
	b.opts.Metrics.GetOrCreateCounter(`fulmartide_connections_closed_total{listener="` + listener + `",reason="` + reason + `"}`).Inc()
	s, now := b.logged[listener+reason], time.Now()
	if now.Sub(s.at) < logPeriod {
		s.skipped++
		b.logged[listener+reason] = s
		return
	}
	b.logged[listener+reason] = logState{at: now}
	fields := []zap.Field{
		zap.String("listener", listener), zap.String("reason", reason), zap.Int("others_since_last_line", s.skipped), zap.Int64("used", b.used),
		zap.Int64("limit", b.opts.Bytes), zap.Int("connections", len(b.accounts)), zap.Int("connection_limit", b.opts.Connections),
		zap.Int64("held", a.held), zap.Duration("waiting", now.Sub(a.since)),
	}
	b.opts.Log.Warn("connection closed for want of room", fields...)
}
