// Package callerconn serves the HTTP connections of callers. A connection that waits for a request is ended only by the
// goroutine that reads it, and only once no byte of a request is left to read: net/http itself closes a connection as idle
// although its next request has arrived, or has been read and not yet been parsed.
package callerconn

import (
	"context"
	"crypto/tls"
	"math"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/connbudget"
	"github.com/fulmartide/fulmartide/internal/tcpconn"
)

// Options configures a Server.
type Options struct {
	// IdleTimeout returns the idle timeout of connections in force, 0 for none. It may be nil.
	IdleTimeout func() time.Duration
	// MaxIdleTime is the idle timeout where IdleTimeout gives none.
	MaxIdleTime time.Duration
	// RequestID returns the id of a request for logs. It may be nil.
	RequestID func(http.Header) string
	// HeadLimit returns the size in bytes of the largest head that is read without TLS. It may be nil; net/http has a limit of its own.
	HeadLimit func() int64
	// MayCut reports whether the connection of a request may be closed in favour of others while the request is served or its answer is
	// written. It may be nil.
	MayCut func(*http.Request) bool
	// Budget bounds what connections hold, nil for no bound. Name is that of the listener in its logs and metrics.
	Budget  *connbudget.Budget
	Name    string
	Log     *zap.Logger
	Metrics *metrics.Set
}

// Server is an HTTP server that loses no request when connections are ended. Its connections must be served with Serve,
// and it must be stopped with Drain.
type Server struct {
	http *http.Server
	opts Options
	// encrypted is set if connections use TLS. net/http gives its server a TLS configuration in any case.
	encrypted bool
	// cut counts the requests whose connection was closed by the server before they were answered.
	cut *metrics.Counter
	// panics counts the requests whose handler panicked.
	panics *metrics.Counter
	// headsRefused counts the requests whose head was larger than the limit.
	headsRefused *metrics.Counter

	phase atomic.Int32

	// served is closed when the server has its listener.
	served chan struct{}

	mu       sync.Mutex
	listener *listener
	conns    map[*conn]struct{}
	// ended is signalled when a connection has ended.
	ended chan struct{}
}

// New returns a Server with the handler and the limits of base, which it takes over. Its IdleTimeout is replaced by that of o,
// which is looked up when a connection becomes idle; for connections of HTTP/2 the one at the start holds.
func New(base *http.Server, o Options) *Server {
	if o.RequestID == nil {
		o.RequestID = func(http.Header) string { return "" }
	}
	if o.IdleTimeout == nil {
		o.IdleTimeout = func() time.Duration { return 0 }
	}
	if o.Budget == nil {
		o.Budget = connbudget.New(connbudget.Options{Bytes: math.MaxInt64, Connections: math.MaxInt, Log: o.Log, Metrics: metrics.NewSet()})
	}
	s := &Server{
		http: base, opts: o, encrypted: base.TLSConfig != nil, conns: map[*conn]struct{}{}, served: make(chan struct{}), ended: make(chan struct{}, 1),
		cut:          o.Metrics.GetOrCreateCounter(`fulmartide_requests_cut_by_this_vm_total`),
		panics:       o.Metrics.GetOrCreateCounter(`fulmartide_call_panics_total`),
		headsRefused: o.Metrics.GetOrCreateCounter(`fulmartide_heads_refused_total{listener="` + o.Name + `"}`),
	}
	next := base.Handler
	base.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveRequest(next, w, r) })
	base.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := unwrap(nc); c != nil {
			c.changeState(nc, state)
		}
	}
	base.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(nc))
	}
	base.IdleTimeout = s.idleLimit() // in force on connections of HTTP/2 only; see conn.applyDeadline
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// CallerLeft reports whether the caller of the request with a context has ended its connection, also if the server has not noticed
// yet.
func CallerLeft(ctx context.Context) bool {
	c, _ := ctx.Value(connKey{}).(*conn)
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peerEnded || tcpconn.Ended(c.Conn)
}

// Serve accepts connections until Drain or Close is called, with TLS if it is configured. It is called once.
func (s *Server) Serve(ln net.Listener) error {
	l := newListener(ln, s)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	close(s.served)
	var err error
	if s.encrypted {
		err = s.http.ServeTLS(l, "", "")
	} else {
		err = s.http.Serve(l)
	}
	if l.Draining() || s.phaseNow() != phaseServing {
		return nil
	}
	return err
}

// activeListener returns the listener of the server, nil before Serve is called.
func (s *Server) activeListener() *listener {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	s.setPhase(phaseClosing)
	return s.http.Close()
}

// idleLimit returns how long a connection may wait for its next request.
func (s *Server) idleLimit() time.Duration {
	if d := s.opts.IdleTimeout(); d > 0 {
		return d
	}
	return s.opts.MaxIdleTime
}

// serveRequest serves a request, and logs if the server closed its connection meanwhile.
func (s *Server) serveRequest(next http.Handler, writer http.ResponseWriter, r *http.Request) {
	w := &beginWriter{ResponseWriter: writer}
	defer s.recoverPanic(w, r)
	if s.phaseNow() != phaseServing {
		w.Header().Set("Connection", "close")
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	release := c.reserve(r)
	if release == nil {
		s.refuse(w, r)
		return
	}
	defer release()
	began := time.Now()
	defer func() {
		if closed := c.closeRecord(); closed != nil {
			s.cut.Inc()
			s.opts.Log.Warn("connection of a request closed by this vm", zap.String("request", s.opts.RequestID(r.Header)),
				zap.Stringer("caller", c.RemoteAddr()), zap.Stringer("phase", closed.phase), zap.Stringer("state", closed.state),
				zap.Duration("closed_after_last_byte", closed.at.Sub(closed.lastRead)),
				zap.Duration("handler_started_after_close", began.Sub(closed.at)), zap.Duration("handler_ran", time.Since(began)))
		}
	}()
	whole := c.resetUnlessWhole(r)
	defer func() {
		if !w.began { // the answer to a panic follows
			whole()
		}
	}()
	next.ServeHTTP(w, r)
	whole()
}

// track returns the tracked connection on nc, nil if there is no room for it.
func (s *Server) track(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s, fresh: true}
	c.account = s.opts.Budget.Open(s.opts.Name, c.evict)
	if c.account == nil {
		return nil
	}
	if s.encrypted && !c.account.Raise(tlsConnBytes) {
		c.account.Close()
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	select {
	case s.ended <- struct{}{}:
	default:
	}
}

// unwrap returns the tracked connection below nc, nil if there is none.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
