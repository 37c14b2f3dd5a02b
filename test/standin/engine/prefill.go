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

type prefillResponse struct {
	Result *endpoint.PrefillResult `json:"result,omitempty"`
	Error  *fault.Detail           `json:"error,omitempty"`
}

// handlePrefill writes blank lines as heartbeats while the prefill is queued or running, then its
// result.
func (s *Server) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var o endpoint.PrefillRequest
	if !standin.ReadJSON(w, r, &o) || s.rejects(w, rolePrefill, o.Model, o.Adapter) {
		return
	}
	s.mu.Lock()
	if len(s.prefillQueue.jobs) >= maxQueueLength {
		s.mu.Unlock()
		standin.WriteError(w, http.StatusTooManyRequests, fault.Overloaded, "prefill queue is full")
		return
	}
	j := s.newJob(o.Attempt, stagePrefill, o.Priority)
	j.prefill, j.requestCtx = o, r.Context()
	j.prompt = ParsePrompt(o.Prompt)
	j.promptTokens = o.Tokens
	j.memoryBytes = o.Tokens * s.opts.KVBytesPerToken
	s.stats.Prefills++
	s.prefillQueue.push(j)
	s.mu.Unlock()
	wake(s.prefillReady)
	s.writePrefillResponse(w, r, j)
}

func (s *Server) writePrefillResponse(w http.ResponseWriter, r *http.Request, j *job) {
	out := newResponseWriter(s, w, r)
	if out.write([]byte("\n")) != nil {
		return
	}
	heartbeatTicker := time.NewTicker(heartbeatInterval)
	defer heartbeatTicker.Stop()
	for {
		select {
		case result := <-j.result:
			out.writeJSON(prefillResponse{Result: &result})
			return
		case <-j.ctx.Done():
			out.writeJSON(prefillResponse{Error: &fault.Detail{
				Kind: fault.Cancelled, Message: "prefill was cancelled", Execution: fault.Executed,
			}})
			return
		case <-heartbeatTicker.C:
			_ = out.write([]byte("\n"))
		case <-r.Context().Done():
			s.handleDisconnect(j)
			return
		}
	}
}

func (s *Server) handleDisconnect(j *job) {
	if !s.opts.FreeOnDisconnect {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.release(j)
}

// runPrefills runs the queued prefills one at a time.
func (s *Server) runPrefills() {
	defer s.done.Done()
	for {
		s.mu.Lock()
		j := s.prefillQueue.pop()
		s.mu.Unlock()
		if j != nil {
			s.runPrefill(j)
			continue
		}
		select {
		case <-s.prefillReady:
		case <-s.ctx.Done():
			return
		}
	}
}

func (s *Server) runPrefill(j *job) {
	s.mu.Lock()
	cached := min(s.cache.cachedPrefix(j.prefill.Pieces)*s.opts.PieceTokens, max(j.promptTokens-1, 0))
	j.computedTokens = j.promptTokens - cached
	s.mu.Unlock()
	cost := time.Duration(float64(j.computedTokens) / float64(s.opts.PrefillTokensPerSecond) * float64(time.Second))
	if s.awaitUnblocked(j.ctx, func(m Mode) bool { return m.StallPrefill }) != nil || standin.Sleep(j.ctx, cost) != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.ctx.Err() != nil {
		return
	}
	s.stats.PrefillTokens += j.computedTokens
	s.cache.add(j.prefill.Pieces, time.Now())
	j.stage, j.stageStart = stageKept, time.Now()
	j.expires = j.stageStart.Add(s.opts.ResultTTL)
	s.handleCount++
	handle := fmt.Sprintf("%s-%d-%d", j.attempt.RequestID, j.attempt.Number, s.handleCount)
	s.results[handle] = j
	time.AfterFunc(s.opts.ResultTTL, func() { s.expireResult(j) })
	j.result <- endpoint.PrefillResult{
		Attempt: j.attempt, Handle: handle, TTLMillis: s.opts.ResultTTL.Milliseconds(),
		CachedTokens: cached, KVBytes: j.memoryBytes,
	}
}

// expireResult releases a result whose TTL has passed, unless it is being exported.
func (s *Server) expireResult(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.activeExports == 0 && !time.Now().Before(j.expires) {
		s.release(j)
	}
}

// exportResponse is the body of an export, which a decode engine needs to continue the request.
type exportResponse struct {
	Prompt   Prompt `json:"prompt"`
	Tokens   int64  `json:"tokens"`
	Computed int64  `json:"computed"`
}

func (s *Server) handleExport(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	j := s.results[r.URL.Query().Get("handle")]
	if j != nil {
		j.activeExports++
	}
	s.mu.Unlock()
	if j == nil {
		standin.WriteError(w, http.StatusNotFound, fault.NotFound, "unknown or expired handle")
		return
	}
	defer func() {
		s.mu.Lock()
		j.activeExports--
		s.mu.Unlock()
		// The decode engine must acknowledge the export within one further TTL.
		time.AfterFunc(s.opts.ResultTTL, func() { s.expireResult(j) })
	}()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	defer context.AfterFunc(j.ctx, cancel)()
	if s.link.Transfer(ctx, j.memoryBytes) == nil {
		standin.WriteJSON(w, http.StatusOK, exportResponse{Prompt: j.prompt, Tokens: j.promptTokens, Computed: j.computedTokens})
	}
}

func (s *Server) handleExportAck(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j := s.results[r.URL.Query().Get("handle")]; j != nil {
		s.release(j)
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// responseWriter writes the lines of one response. It blocks while the engine is unresponsive.
type responseWriter struct {
	server     *Server
	w          http.ResponseWriter
	controller *http.ResponseController
	r          *http.Request
}

func newResponseWriter(s *Server, w http.ResponseWriter, r *http.Request) *responseWriter {
	w.Header().Set("Content-Type", "application/x-ndjson")
	return &responseWriter{server: s, w: w, controller: http.NewResponseController(w), r: r}
}

// write sends and flushes raw. While the engine is unresponsive it blocks until the mode changes
// or the client disconnects.
func (o *responseWriter) write(raw []byte) error {
	if err := o.server.awaitUnblocked(o.r.Context(), func(m Mode) bool { return m.Unresponsive }); err != nil {
		return err
	}
	if _, err := o.w.Write(raw); err != nil {
		return err
	}
	return o.controller.Flush()
}

func (o *responseWriter) writeJSON(v any) {
	raw, err := json.Marshal(v)
	if err == nil {
		_ = o.write(append(raw, '\n'))
	}
}
