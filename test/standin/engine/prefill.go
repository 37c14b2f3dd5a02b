package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/standin"
)

type prefillAnswer struct {
	Result *endpoint.PrefillResult `json:"result,omitempty"`
	Error  *fault.Detail           `json:"error,omitempty"`
}

// handlePrefill answers with blank lines while the order waits and runs, then with its result.
func (s *Server) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var o endpoint.PrefillRequest
	if !standin.ReadJSON(w, r, &o) || s.refused(w, rolePrefill, o.Model, o.Adapter) {
		return
	}
	s.mu.Lock()
	if len(s.prefills.jobs) >= maxQueue {
		s.mu.Unlock()
		standin.Refuse(w, http.StatusTooManyRequests, fault.Overloaded, "prefill queue is full")
		return
	}
	j := s.newJob(o.Attempt, stagePrefill, o.Priority)
	j.prefill, j.caller = o, r.Context()
	j.prompt = ReadPrompt(o.Prompt)
	j.tokens = o.Tokens
	j.bytes = o.Tokens * s.opts.KVBytesPerToken
	s.stats.Prefills++
	s.prefills.push(j)
	s.mu.Unlock()
	poke(s.wakeup)
	s.answerPrefill(w, r, j)
}

func (s *Server) answerPrefill(w http.ResponseWriter, r *http.Request, j *job) {
	out := newWriter(s, w, r)
	if out.write([]byte("\n")) != nil {
		return
	}
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		select {
		case result := <-j.result:
			out.writeJSON(prefillAnswer{Result: &result})
			return
		case <-j.ctx.Done():
			out.writeJSON(prefillAnswer{Error: &fault.Detail{Kind: fault.Cancelled, Message: "prefill was cancelled", Execution: fault.Executed}})
			return
		case <-beat.C:
			_ = out.write([]byte("\n"))
		case <-r.Context().Done():
			s.disconnected(j)
			return
		}
	}
}

func (s *Server) disconnected(j *job) {
	if !s.opts.FreeOnDisconnect {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free(j)
}

// runPrefills computes one prompt after another.
func (s *Server) runPrefills() {
	defer s.done.Done()
	for {
		s.mu.Lock()
		j := s.prefills.pop()
		s.mu.Unlock()
		if j != nil {
			s.compute(j)
			continue
		}
		select {
		case <-s.wakeup:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) compute(j *job) {
	s.mu.Lock()
	cached := min(s.cache.prefix(j.prefill.Pieces)*s.opts.PieceTokens, max(j.tokens-1, 0))
	j.computed = j.tokens - cached
	s.mu.Unlock()
	cost := time.Duration(float64(j.computed) / float64(s.opts.PrefillTokensPerSecond) * float64(time.Second))
	if s.pass(j.ctx, func(m Mode) bool { return m.StallPrefill }) != nil || standin.Sleep(j.ctx, cost) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.ctx.Err() != nil {
		return
	}
	s.stats.PrefillTokens += j.computed
	s.cache.add(j.prefill.Pieces, time.Now())
	j.stage, j.since = stageKept, time.Now()
	j.expires = j.since.Add(s.opts.Keep)
	s.handles++
	handle := fmt.Sprintf("%s-%d-%d", j.attempt.RequestID, j.attempt.Number, s.handles)
	s.kept[handle] = j
	time.AfterFunc(s.opts.Keep, func() { s.expire(j) })
	j.result <- endpoint.PrefillResult{
		Attempt: j.attempt, Handle: handle, TTLMillis: s.opts.Keep.Milliseconds(), CachedTokens: cached, KVBytes: j.bytes,
	}
}

// expire frees a kept result past its time, unless it is being exported.
func (s *Server) expire(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.exports == 0 && !time.Now().Before(j.expires) {
		s.free(j)
	}
}

// exported is the body of an export: what a decode engine needs to go on.
type exported struct {
	Prompt   Prompt `json:"prompt"`
	Tokens   int64  `json:"tokens"`
	Computed int64  `json:"computed"`
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	j := s.kept[r.URL.Query().Get("handle")]
	if j != nil {
		j.exports++
	}
	s.mu.Unlock()
	if j == nil {
		standin.Refuse(w, http.StatusNotFound, fault.NotFound, "no such result is kept")
		return
	}
	defer func() {
		s.mu.Lock()
		j.exports--
		s.mu.Unlock()
		// The decode engine has one keep time to acknowledge.
		time.AfterFunc(s.opts.Keep, func() { s.expire(j) })
	}()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(j.ctx, cancel)()
	if s.link.Carry(ctx, j.bytes) == nil {
		standin.WriteJSON(w, http.StatusOK, exported{Prompt: j.prompt, Tokens: j.tokens, Computed: j.computed})
	}
}

func (s *Server) handleExportAck(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.kept[r.URL.Query().Get("handle")]; j != nil {
		s.free(j)
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// writer writes the lines of one answer, unless the engine is silent.
type writer struct {
	server  *Server
	w       http.ResponseWriter
	control *http.ResponseController
	r       *http.Request
}

func newWriter(s *Server, w http.ResponseWriter, r *http.Request) *writer {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &writer{server: s, w: w, control: http.NewResponseController(w), r: r}
}

// write sends raw at once. While the engine is silent it waits, until the client leaves.
func (o *writer) write(raw []byte) error {
	if err := o.server.pass(o.r.Context(), func(m Mode) bool { return m.Silent }); err != nil {
		return err
	}
	if _, err := o.w.Write(raw); err != nil {
		return err
	}
	return o.control.Flush()
}

func (o *writer) writeJSON(v any) {
	raw, err := json.Marshal(v)
	if err == nil {
		_ = o.write(append(raw, '\n'))
	}
}
