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

// Mode is what an engine does wrong.
type Mode struct {
	// StallPrefill, StallDecode and StallLink stop the progress of work; streams go on with
	// signs of life.
	StallPrefill bool `json:"stall_prefill"`
	StallDecode  bool `json:"stall_decode"`
	StallLink    bool `json:"stall_link"`
	// Silent stops all answers, but keeps connections open.
	Silent bool `json:"silent"`
	// Refuse answers 503 to new orders.
	Refuse bool `json:"refuse"`
	// Stray adds late and crossed frames to every stream.
	Stray bool `json:"stray"`
	// DropCancels cuts the next cancels without effect.
	DropCancels int `json:"drop_cancels"`
}

// Stats are what an engine has done.
type Stats struct {
	Prefills int64 `json:"prefills"`
	Decodes  int64 `json:"decodes"`
	Cancels  int64 `json:"cancels"`
	Orders   int64 `json:"orders"`
	// PrefillTokens were computed here. PrefillTokensDecoded were computed for answers that
	// were generated to their end here.
	PrefillTokens        int64 `json:"prefill_tokens"`
	PrefillTokensDecoded int64 `json:"prefill_tokens_decoded"`
	DecodedTokens        int64 `json:"decoded_tokens"`
	WholeAnswers         int64 `json:"whole_answers"`
	MaxRunning           int   `json:"max_running"`
	// Headers counts the names of headers received.
	Headers map[string]int64 `json:"headers"`
}

// SetMode changes what the engine does wrong.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
	s.link.Stall(m.StallLink)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Stats gives the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Headers = maps.Clone(s.stats.Headers)
	return out
}

// Saw reports whether an order for a request ever came.
func (s *Server) Saw(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[request]
}

// pass waits while blocked holds for the present mode.
func (s *Server) pass(ctx context.Context, blocked func(Mode) bool) error {
	for {
		s.mu.Lock()
		stop, changed := blocked(s.mode), s.changed
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

// gate counts headers, and holds back the answers of a silent engine.
func (s *Server) gate(next http.Handler) http.Handler {
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
		if s.pass(r.Context(), func(m Mode) bool { return m.Silent }) == nil {
			next.ServeHTTP(w, r)
		}
	})
}

func (s *Server) control(mux *http.ServeMux) {
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

// load gives the present load. The caller holds mu.
func (s *Server) load() endpoint.Load {
	l := endpoint.Load{
		Running: len(s.running), Queued: len(s.waiting.jobs) + len(s.prefills.jobs), Role: s.role,
		Models: slices.Clone(s.models), Adapters: slices.Clone(s.adapters),
	}
	for j := range s.jobs {
		l.HeldBytes += j.bytes
		if j.stage == stagePrefill {
			l.QueueTokens += j.tokens
		}
	}
	return l
}

// reportSteps is how many reports are kept over one ReportLag.
const reportSteps = 4

// runReports takes the reports that are shown once they are ReportLag old.
func (s *Server) runReports() {
	defer s.done.Done()
	if s.opts.ReportLag <= 0 {
		return
	}
	step := s.opts.ReportLag / reportSteps
	for standin.Sleep(s.ctx, step) == nil {
		s.mu.Lock()
		s.reports = append(s.reports, s.load())
		if len(s.reports) > reportSteps+1 {
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

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o endpoint.ConfigureRequest
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o.FencingToken < s.fence && !s.opts.IgnoreFence {
		standin.Refuse(w, http.StatusConflict, fault.Conflict, "order's fence is old")
		return
	}
	s.fence = max(s.fence, o.FencingToken)
	s.stats.Orders++
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
		standin.Refuse(w, http.StatusBadRequest, fault.Malformed, "unknown action "+o.Action)
		return
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// loadWeights adds name to list once the weight store has given it. The caller holds mu.
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
	if !s.opts.Weights.IsValid() {
		return nil
	}
	ctx, cancel := context.WithTimeout(s.ctx, 5*time.Minute)
	defer cancel()
	u := url.URL{Scheme: "http", Host: s.opts.Weights.String(), Path: "/weights/" + name}
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
