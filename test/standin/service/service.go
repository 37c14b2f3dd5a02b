// Package service simulates a plain HTTP service, such as a marketplace or a booking office. It
// records the executions of each commit, which is a call with a method other than GET and HEAD.
package service

import (
	"encoding/hex"
	"hash/fnv"
	"io"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/standin"
)

const maxBodyBytes = 1 << 20

// Options configures the stand-in.
type Options struct {
	// Latency is the duration of each call.
	Latency time.Duration
}

// Mode selects the faults that the stand-in simulates.
type Mode struct {
	// DropConnections closes each connection before its call is executed.
	DropConnections bool `json:"down"`
	// RejectRequests responds with 503 without executing the call.
	RejectRequests bool `json:"refuse"`
	// DropResponses is the number of upcoming calls that are executed but whose response is dropped.
	DropResponses int `json:"lose_answers"`
	// ExtraLatencyMillis is added to the latency of each call after its execution.
	ExtraLatencyMillis int64 `json:"extra_millis"`
}

// Stats counts calls and headers.
type Stats struct {
	// Calls counts the executed calls.
	Calls int64 `json:"calls"`
	// Commits counts the executions of each commit by Idempotency-Key or, without one, by a hash of
	// the method, path and body.
	Commits map[string]int `json:"commits"`
	// Headers counts the received headers by name.
	Headers map[string]int64 `json:"headers"`
}

// Server is one replica of the service.
type Server struct {
	opts Options

	mu      sync.Mutex
	mode    Mode
	calls   int64
	commits map[string]int
	headers map[string]int64
	seen    map[string]bool
}

// New returns a replica that has executed nothing.
func New(o Options) *Server {
	return &Server{opts: o, commits: make(map[string]int), headers: make(map[string]int64), seen: make(map[string]bool)}
}

// Handler returns a handler that serves any path, with control endpoints under /test/.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", s.serve)
	mux.HandleFunc("POST /test/mode", func(w http.ResponseWriter, r *http.Request) {
		var m Mode
		if standin.ReadJSON(w, r, &m) {
			s.SetMode(m)
			standin.WriteJSON(w, http.StatusOK, m)
		}
	})
	mux.HandleFunc("GET /test/commits", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Stats())
	})
	return mux
}

// SetMode changes the faults that the stand-in simulates.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Calls: s.calls, Commits: maps.Clone(s.commits), Headers: maps.Clone(s.headers)}
}

// Received reports whether a call with this X-Request-Id has arrived.
func (s *Server) Received(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[request]
}

// response is the body of each response.
type response struct {
	Path string `json:"path"`
	// Executions is how often this commit has been executed; 0 for reads.
	Executions int `json:"runs"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	mode := s.recordRequest(r)
	switch {
	case mode.DropConnections:
		standin.DropConnection(w)
		return
	case mode.RejectRequests:
		standin.WriteError(w, http.StatusServiceUnavailable, fault.Unavailable, "service rejects all requests")
		return
	}
	executions, dropResponse := s.execute(r, body)
	_ = standin.Sleep(r.Context(), s.opts.Latency+time.Duration(mode.ExtraLatencyMillis)*time.Millisecond)
	if dropResponse {
		standin.DropConnection(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, response{Path: r.URL.Path, Executions: executions})
}

func (s *Server) recordRequest(r *http.Request) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range r.Header {
		s.headers[name]++
	}
	s.seen[r.Header.Get("X-Request-Id")] = true
	return s.mode
}

func (s *Server) execute(r *http.Request, body []byte) (executions int, dropResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		key := commitKey(r, body)
		s.commits[key]++
		executions = s.commits[key]
	}
	if s.mode.DropResponses > 0 {
		s.mode.DropResponses--
		dropResponse = true
	}
	return executions, dropResponse
}

func commitKey(r *http.Request, body []byte) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	h := fnv.New64a()
	_, _ = io.WriteString(h, r.Method+" "+r.URL.Path+"\n")
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
