// Package service stands in for a plain service, such as a marketplace or a booking office.
// It records each commit that it runs.
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

// Options size the stand-in.
type Options struct {
	// Latency is the time that each call takes.
	Latency time.Duration
}

// Mode is what the stand-in does wrong.
type Mode struct {
	// Down drops each connection before its call is run.
	Down bool `json:"down"`
	// Refuse answers 503 and runs nothing.
	Refuse bool `json:"refuse"`
	// LoseAnswers drops the answers of the next calls after they ran.
	LoseAnswers int `json:"lose_answers"`
	// ExtraMillis is added to the latency of each call, after it ran.
	ExtraMillis int64 `json:"extra_millis"`
}

// Stats are what the stand-in has seen.
type Stats struct {
	Calls int64 `json:"calls"`
	// Commits counts the runs of each commit by Idempotency-Key, or by path and body without one.
	Commits map[string]int `json:"commits"`
	// Headers counts the names of headers received.
	Headers map[string]int64 `json:"headers"`
}

// Server is one replica.
type Server struct {
	opts Options

	mu      sync.Mutex
	mode    Mode
	calls   int64
	commits map[string]int
	headers map[string]int64
	seen    map[string]bool
}

// New makes a replica that ran nothing.
func New(o Options) *Server {
	return &Server{opts: o, commits: make(map[string]int), headers: make(map[string]int64), seen: make(map[string]bool)}
}

// Handler serves the replica: any path, and /test/ for control.
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

// SetMode changes what the stand-in does wrong.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Stats gives the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Stats{Calls: s.calls, Commits: maps.Clone(s.commits), Headers: maps.Clone(s.headers)}
}

// Saw reports whether a call with this X-Request-Id ever came.
func (s *Server) Saw(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[request]
}

// answer is the body of each answer.
type answer struct {
	Path string `json:"path"`
	// Runs is how often this commit ran, 0 for reads.
	Runs int `json:"runs"`
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	mode := s.note(r)
	switch {
	case mode.Down:
		standin.Cut(w)
		return
	case mode.Refuse:
		standin.Refuse(w, http.StatusServiceUnavailable, fault.Unavailable, "service refuses")
		return
	}
	runs, lose := s.run(r, body)
	_ = standin.Sleep(r.Context(), s.opts.Latency+time.Duration(mode.ExtraMillis)*time.Millisecond)
	if lose {
		standin.Cut(w)
		return
	}
	standin.WriteJSON(w, http.StatusOK, answer{Path: r.URL.Path, Runs: runs})
}

func (s *Server) note(r *http.Request) Mode {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range r.Header {
		s.headers[name]++
	}
	s.seen[r.Header.Get("X-Request-Id")] = true
	return s.mode
}

func (s *Server) run(r *http.Request, body []byte) (runs int, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		key := commitKey(r, body)
		s.commits[key]++
		runs = s.commits[key]
	}
	if s.mode.LoseAnswers > 0 {
		s.mode.LoseAnswers--
		lose = true
	}
	return runs, lose
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
