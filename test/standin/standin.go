// Package standin provides what the stand-ins for external systems share: an HTTP server on a
// free loopback port, JSON responses, and a rate-limited link.
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

// Serve starts a server for h on a free port.
func Serve(h http.Handler) (*Server, error) { return ServeAt("127.0.0.1:0", h) }

// ServeAt starts a server for h on addr.
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

// Addr returns the server's address.
func (s *Server) Addr() netip.AddrPort { return s.addr }

// Close stops the server and closes all its connections.
func (s *Server) Close() {
	_ = s.server.Close()
	<-s.done
}

// WriteJSON writes v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes a request's body into v. On failure it responds with 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	raw, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(raw, v)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, fault.Malformed, err.Error())
	}
	return err == nil
}

// ErrorBody is the body of an error response.
type ErrorBody struct {
	Error fault.Detail `json:"error"`
}

// WriteError responds with an error that marks the request as not executed. Its remedy is to correct the
// request or to try another endpoint.
func WriteError(w http.ResponseWriter, status int, kind fault.Kind, message string) {
	WriteJSON(w, status, ErrorBody{fault.Detail{
		Kind: kind, Message: message, Remedy: "correct the request or try another endpoint", Execution: fault.NotExecuted,
	}})
}

// DropConnection closes the connection of w without a response.
func DropConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		conn.Close()
	}
}

// Link carries transfers one after another at a limited rate. Transfers that start while it is
// stalled do not complete until it is resumed.
type Link struct {
	mu      sync.Mutex
	rate    int64
	freeAt  time.Time
	stalled chan struct{}
}

// NewLink returns a link with a rate in bytes per second; 0 means unlimited.
func NewLink(rate int64) *Link { return &Link{rate: rate} }

// Transfer waits until the link has carried the given number of bytes, or ctx ends.
func (l *Link) Transfer(ctx context.Context, bytes int64) error {
	finish, stalled := l.reserve(bytes)
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

func (l *Link) reserve(bytes int64) (time.Time, chan struct{}) {
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

// SetStalled stalls transfers that start from now on, or resumes all stalled transfers.
func (l *Link) SetStalled(on bool) {
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
