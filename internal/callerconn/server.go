// Package callerconn serves the HTTP connections of callers. It records which requests have been read from a connection
// when the server closes it.
package callerconn

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// Server is an HTTP server that knows the state of each connection.
type Server struct {
	*http.Server
	log *zap.Logger
	// requestID returns the id of a request for logs.
	requestID func(http.Header) string
	// cut counts the requests whose connection was closed by the server before they were answered.
	cut *metrics.Counter

	mu    sync.Mutex
	conns map[*conn]struct{}
	// step names the step of the stop in progress, empty while the server is not being stopped.
	step string
}

// New returns a Server that serves with the settings of base, which it takes over. requestID may be nil.
func New(base *http.Server, requestID func(http.Header) string, log *zap.Logger, set *metrics.Set) *Server {
	if requestID == nil {
		requestID = func(http.Header) string { return "" }
	}
	s := &Server{
		Server: base, log: log, requestID: requestID, conns: map[*conn]struct{}{},
		cut: set.GetOrCreateCounter(`fulmartide_requests_cut_by_this_vm_total`),
	}
	next, onState := base.Handler, base.ConnState
	base.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serveRequest(next, w, r) })
	base.ConnState = func(nc net.Conn, state http.ConnState) {
		if c := unwrap(nc); c != nil {
			c.changeState(state)
		}
		if onState != nil {
			onState(nc, state)
		}
	}
	base.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, unwrap(nc))
	}
	return s
}

// connKey is the key of a request's connection in its context.
type connKey struct{}

// Listener returns a listener whose connections are known to the server. The server must serve no others.
func (s *Server) Listener(ln net.Listener) net.Listener { return &listener{Listener: ln, server: s} }

// SetStep names the step of the stop that is in progress, for logs.
func (s *Server) SetStep(step string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step = step
}

func (s *Server) currentStep() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.step
}

// serveRequest serves a request and reports whether its connection was closed meanwhile by this process.
func (s *Server) serveRequest(next http.Handler, w http.ResponseWriter, r *http.Request) {
	c, _ := r.Context().Value(connKey{}).(*conn)
	if c == nil {
		next.ServeHTTP(w, r)
		return
	}
	began := time.Now()
	defer func() {
		if closed := c.closure(); closed != nil {
			s.cut.Inc()
			s.log.Warn("connection of a request closed by this vm", zap.String("request", s.requestID(r.Header)), zap.Stringer("caller", c.RemoteAddr()),
				zap.String("step", closed.step), zap.Stringer("state", closed.state), zap.Duration("closed_after_last_byte", closed.at.Sub(closed.lastRead)),
				zap.Duration("handler_started_after_close", began.Sub(closed.at)), zap.Duration("handler_ran", time.Since(began)))
		}
	}()
	next.ServeHTTP(w, r)
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.server.track(nc), nil
}

func (s *Server) track(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return c
}

func (s *Server) forget(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// unwrap returns the tracked connection below nc, nil if there is none.
func unwrap(nc net.Conn) *conn {
	if t, ok := nc.(*tls.Conn); ok {
		nc = t.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}
