// Package standin holds what the stand-ins for outside systems share: an HTTP server on a
// free loopback port, JSON answers, and a link of limited rate.
package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

const maxBodyBytes = 8 << 20

// Server serves one handler on a free port of 127.0.0.1.
type Server struct {
	addr   netip.AddrPort
	server *http.Server
	done   chan struct{}
}

// Serve starts to serve h.
func Serve(h http.Handler) (*Server, error) { return ServeAt("127.0.0.1:0", h) }

// ServeAt starts to serve h at addr.
func ServeAt(addr string, h http.Handler) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{
		addr:   ln.Addr().(*net.TCPAddr).AddrPort(),
		server: &http.Server{Handler: h, ReadHeaderTimeout: time.Minute},
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.server.Serve(ln)
	}()
	return s, nil
}

// Addr gives the server's address.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close cuts all connections.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON reads a request's body into v; on failure it answers 400 and gives false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		Refuse(w, http.StatusBadRequest, fault.Malformed, err.Error())
	}
	return err == nil
}

// Refusal is the body of a refusal.
type Refusal struct {
	Error fault.Detail `json:"error"`
}

// Refuse answers that nothing was run.
func Refuse(w http.ResponseWriter, status int, kind fault.Kind, message string) {
	WriteJSON(w, status, Refusal{fault.Detail{Kind: kind, Message: message, Remedy: "use another endpoint", Execution: fault.NotExecuted}})
}

// Cut drops the connection of w without an answer.
func Cut(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// Link carries one transfer after another at a limited rate. While it is stalled, transfers hang.
type Link struct {
	mu      sync.Mutex
	rate    int64
	freeAt  time.Time
	stalled chan struct{}
}

// NewLink makes a link of rate bytes a second; 0 is without limit.
func NewLink(rate int64) *Link { return &Link{rate: rate} }

// Carry waits until bytes have passed, or ctx ends.
func (l *Link) Carry(ctx context.Context, bytes int64) error {
	finish, stalled := l.book(bytes)
	if err := Sleep(ctx, time.Until(finish)); err != nil {
		return err
	}
	if stalled == nil {
		return nil
	}
	select {
	case <-stalled:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (l *Link) book(bytes int64) (time.Time, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	if l.rate > 0 {
		l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / float64(l.rate) * float64(time.Second)))
	}
	return l.freeAt, l.stalled
}

// Stall makes transfers that start from now on hang, or lets all go on.
func (l *Link) Stall(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case on && l.stalled == nil:
		l.stalled = make(chan struct{})
	case !on && l.stalled != nil:
		close(l.stalled)
		l.stalled = nil
	}
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
