package engine

import (
	"context"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/standin"
)

// Mode selects the faults that an engine simulates.
type Mode struct {
	// StallPrefill, StallDecode and StallLink stop the progress of work. Streams still carry
	// heartbeats.
	StallPrefill bool `json:"stall_prefill"`
	StallDecode  bool `json:"stall_decode"`
	StallLink    bool `json:"stall_link"`
	// Unresponsive withholds all responses but keeps connections open.
	Unresponsive bool `json:"silent"`
	// RejectRequests responds to new prefill and decode requests with 503.
	RejectRequests bool `json:"refuse"`
	// StrayFrames adds duplicate frames and frames of other requests and attempts to every stream.
	StrayFrames bool `json:"stray"`
	// DropCancels is the number of upcoming cancel requests whose connection is closed without effect.
	DropCancels int `json:"drop_cancels"`
}

// Stats counts what an engine has done.
type Stats struct {
	Prefills          int64 `json:"prefills"`
	Decodes           int64 `json:"decodes"`
	Cancels           int64 `json:"cancels"`
	ConfigureRequests int64 `json:"orders"`
	// PrefillTokens counts the prompt tokens that this engine computed. PrefillTokensDecoded counts
	// those computed by any engine for responses that this engine generated completely.
	PrefillTokens        int64 `json:"prefill_tokens"`
	PrefillTokensDecoded int64 `json:"prefill_tokens_decoded"`
	DecodedTokens        int64 `json:"decoded_tokens"`
	CompletedDecodes     int64 `json:"whole_answers"`
	MaxRunning           int   `json:"max_running"`
	// Headers counts the received headers by name.
	Headers map[string]int64 `json:"headers"`
}

// SetMode changes the faults that the engine simulates.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.link.SetStalled(m.StallLink)
	close(s.modeChanged)
	s.modeChanged = make(chan struct{})
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Headers = maps.Clone(s.stats.Headers)
	return out
}

// Received reports whether the engine accepted a prefill or decode of this request.
func (s *Server) Received(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[request]
}

// awaitUnblocked waits while blocked returns true for the current mode.
func (s *Server) awaitUnblocked(ctx context.Context, blocked func(Mode) bool) error {
	for {
		s.mu.Lock()
		stop, changed := blocked(s.mode), s.modeChanged
		s.mu.Unlock()
		if !stop {
			return ctx.Err()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// middleware counts headers and delays requests while the engine is unresponsive.
func (s *Server) middleware(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if len(r.URL.Path) > 6 && r.URL.Path[:6] == "/test/" {
			next.ServeHTTP(w, r)
			return
		}
		s.mu.Lock()
		for name := range r.Header {
			s.stats.Headers[name]++
		}
		s.mu.Unlock()
		if s.awaitUnblocked(r.Context(), func(m Mode) bool { return m.Unresponsive }) == nil {
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Server) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("POST /test/mode", func(w http.ResponseWriter, r *http.Request) {
		var m Mode
		if standin.ReadJSON(w, r, &m) {
			s.SetMode(m)
			standin.WriteJSON(w, http.StatusOK, m)
		}
	})
	mux.HandleFunc("GET /test/stats", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Stats())
	})
}

// load returns the current load. The caller must hold mu.
func (s *Server) load() endpoint.Load {
	l := endpoint.Load{
		Running: len(s.running), Queued: len(s.decodeQueue.jobs) + len(s.prefillQueue.jobs), Role: s.role,
		Models: slices.Clone(s.models), Adapters: slices.Clone(s.adapters),
	}
	for j := range s.jobs {
		l.HeldBytes += j.memoryBytes
		if j.stage == stagePrefill {
			l.QueueTokens += j.promptTokens
		}
	}
	return l
}

// reportsPerLag is the number of load reports recorded during one ReportLag.
const reportsPerLag = 4

// recordReports records load reports, which handleLoad returns once they are ReportLag old.
func (s *Server) recordReports() {
	defer s.done.Done()
	if s.opts.ReportLag <= 0 {
		return
	}
	step := s.opts.ReportLag / reportsPerLag
	for standin.Sleep(s.ctx, step) == nil {
		s.mu.Lock()
		s.reports = append(s.reports, s.load())
		if len(s.reports) > reportsPerLag+1 {
			s.reports = s.reports[1:]
		}
		s.mu.Unlock()
	}
}

func (s *Server) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := s.load()
	if s.opts.ReportLag > 0 {
		l = endpoint.Load{Role: s.role, Models: l.Models, Adapters: l.Adapters}
		if len(s.reports) > 0 {
			l = s.reports[0]
		}
		l.AgeMillis = s.opts.ReportLag.Milliseconds()
	}
	s.mu.Unlock()
	standin.WriteJSON(w, http.StatusOK, l)
}

func (s *Server) handleConfigure(w http.ResponseWriter, r *http.Request) {
	var o endpoint.ConfigureRequest
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.FencingToken < s.fencingToken && !s.opts.IgnoreFencingToken {
		standin.WriteError(w, http.StatusConflict, fault.Conflict, "fencing token is older than the last accepted one")
		return
	}
	s.fencingToken = max(s.fencingToken, o.FencingToken)
	s.stats.ConfigureRequests++
	switch o.Action {
	case "load_model":
		s.loadWeights(o.Target, &s.models)
	case "load_adapter":
		s.loadWeights(o.Target, &s.adapters)
	case "unload_adapter":
		s.adapters = slices.DeleteFunc(s.adapters, func(a string) bool { return a == o.Target })
	case "set_role":
		s.role = o.Target
	default:
		standin.WriteError(w, http.StatusBadRequest, fault.Malformed, "unknown action "+o.Action)
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// loadWeights adds name to list once the weight store has returned it. The caller must hold mu.
func (s *Server) loadWeights(name string, list *[]string) {
	if slices.Contains(*list, name) || s.ctx.Err() != nil {
		return
	}
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		if s.fetchWeights(name) != nil {
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if !slices.Contains(*list, name) {
			*list = append(*list, name)
		}
	}()
}

func (s *Server) fetchWeights(name string) error {
	if !s.opts.WeightStore.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Minute)
	defer cancel()
	u := url.URL{Scheme: "http", Host: s.opts.WeightStore.String(), Path: "/weights/" + name}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}
