package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"time"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/standin"
)

// handleDecode queues a decode for a slot, imports the KV cache and streams tokens.
func (s *Server) handleDecode(w http.ResponseWriter, r *http.Request) {
	var o endpoint.DecodeRequest
	if !standin.ReadJSON(w, r, &o) || s.rejects(w, "decode", o.Model, o.Adapter) {
		return
	}
	s.mu.Lock()
	if len(s.decodeQueue.jobs) >= maxQueueLength {
		s.mu.Unlock()
		standin.WriteError(w, http.StatusTooManyRequests, fault.Overloaded, "decode queue is full")
		return
	}
	j := s.newJob(o.Attempt, stageImport, o.Priority)
	j.decode, j.nextToken, j.requestCtx = o, o.Offset, r.Context()
	s.stats.Decodes++
	s.decodeQueue.push(j)
	s.startQueued()
	s.mu.Unlock()
	s.stream(w, r, j)
}

// startQueued assigns free slots to queued decodes. The caller must hold mu.
func (s *Server) startQueued() {
	for s.busySlots < s.opts.Slots && s.ctx.Err() == nil {
		j := s.decodeQueue.pop()
		if j == nil {
			return
		}
		s.busySlots++
		j.memoryBytes = s.opts.KVBytesPerToken
		s.done.Add(1)
		go s.importKV(j)
	}
}

// importKV fetches a prefill's result, then adds the job to the batch.
func (s *Server) importKV(j *job) {
	defer s.done.Done()
	got, err := s.fetchKV(j.ctx, j.decode)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, active := s.jobs[j]; !active {
		return
	}
	if err != nil {
		s.release(j)
		return
	}
	j.prompt, j.promptTokens, j.computedTokens = got.Prompt, got.Tokens, got.Computed
	j.endToken, _ = j.prompt.responseLength(j.decode.MaxTokens)
	j.stage, j.stageStart, j.memoryBytes = stageDecode, time.Now(), got.Tokens*s.opts.KVBytesPerToken
	s.running = append(s.running, j)
	s.stats.MaxRunning = max(s.stats.MaxRunning, len(s.running))
	wake(s.batchReady)
	wake(j.progress)
}

func (s *Server) fetchKV(ctx context.Context, o endpoint.DecodeRequest) (exportResponse, error) {
	var got exportResponse
	if err := s.awaitUnblocked(ctx, func(m Mode) bool { return m.StallLink }); err != nil {
		return got, err
	}
	query := url.Values{"handle": {o.Handle}}
	u := url.URL{Scheme: "http", Host: o.Source.String(), Path: "/v1/export", RawQuery: query.Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return got, err
	}
	req.Header.Set("User-Agent", s.opts.UserAgent)
	resp, err := s.client.Do(req)
	if err != nil {
		return got, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return got, fault.New(fault.NotFound, "run the prefill again", "the prefill result is not available")
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return got, err
	}
	if err := s.link.Transfer(ctx, got.Tokens*s.opts.KVBytesPerToken); err != nil {
		return got, err
	}
	u.Path = "/v1/export/ack"
	return got, s.acknowledgeExport(ctx, u.String())
}

func (s *Server) acknowledgeExport(ctx context.Context, target string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	if err != nil {
		return err
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// runBatch generates one token for every running job in each step.
func (s *Server) runBatch() {
	defer s.done.Done()
	next := time.Now()
	for {
		s.mu.Lock()
		n := len(s.running)
		s.mu.Unlock()
		if n == 0 {
			select {
			case <-s.batchReady:
			case <-s.ctx.Done():
				return
			}
			next = time.Now()
			continue
		}
		// After a pause, do not catch up on the missed steps.
		if late := time.Since(next); late > heartbeatInterval {
			next = time.Now()
		}
		next = next.Add(s.opts.GapBase + time.Duration(n)*s.opts.GapPerSlot)
		if standin.Sleep(s.ctx, time.Until(next)) != nil ||
			s.awaitUnblocked(s.ctx, func(m Mode) bool { return m.StallDecode }) != nil {
			return
		}
		s.decodeStep()
	}
}

func (s *Server) decodeStep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.running {
		if j.nextToken < j.endToken {
			j.nextToken++
			s.stats.DecodedTokens++
			wake(j.progress)
		}
	}
}

// stream writes a job's frames. If the client disconnects, the slot stays allocated until a cancel
// arrives or OrphanTimeout has passed, unless FreeOnDisconnect is set.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, j *job) {
	out := newResponseWriter(s, w, r)
	err := out.write([]byte("\n"))
	if err == nil {
		err = s.streamFrames(out, r.Context(), j)
	}
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release(j)
		return
	}
	s.handleDisconnect(j)
	time.AfterFunc(s.opts.OrphanTimeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.release(j)
	})
}

func (s *Server) streamFrames(out *responseWriter, ctx context.Context, j *job) error {
	started, sent := false, j.decode.Offset
	heartbeatTicker := time.NewTicker(heartbeatInterval)
	defer heartbeatTicker.Stop()
	for {
		frames := []byte{}
		select {
		case <-j.progress:
		case <-heartbeatTicker.C:
			frames = s.appendFrame(frames, endpoint.Frame{Attempt: j.attempt, Offset: sent})
		case <-j.ctx.Done():
			out.writeJSON(prefillResponse{Error: s.releaseReason(j)})
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
		importing, next, stray := j.stage == stageImport, j.nextToken, s.mode.StrayFrames
		s.mu.Unlock()
		if !importing && !started {
			started = true
			frames = s.appendFrame(frames, endpoint.Frame{Attempt: j.attempt, Started: true, Offset: sent})
		}
		for ; started && sent < next; sent++ {
			if stray {
				frames = s.appendStrayFrames(frames, j, sent)
			}
			frames = s.appendFrame(frames, endpoint.Frame{Attempt: j.attempt, Offset: sent, Text: Token(j.prompt.Hash, sent)})
		}
		if started && sent >= j.endToken {
			_, finish := j.prompt.responseLength(j.decode.MaxTokens)
			frames = s.appendFrame(frames, endpoint.Frame{Attempt: j.attempt, Offset: sent, Done: true, FinishReason: finish})
			s.countCompletedDecode(j)
			return out.write(frames)
		}
		if len(frames) == 0 {
			continue
		}
		if err := out.write(frames); err != nil {
			return err
		}
	}
}

// appendStrayFrames appends frames that a correct reader discards: one of another request, one of
// another attempt, and one that was already sent.
func (s *Server) appendStrayFrames(frames []byte, j *job, offset int64) []byte {
	otherRequest := endpoint.Attempt{RequestID: j.attempt.RequestID + "x", Number: j.attempt.Number}
	otherAttempt := endpoint.Attempt{RequestID: j.attempt.RequestID, Number: j.attempt.Number + 7}
	frames = s.appendFrame(frames, endpoint.Frame{Attempt: otherRequest, Offset: offset, Text: "stray "})
	frames = s.appendFrame(frames, endpoint.Frame{Attempt: otherAttempt, Offset: offset, Text: "stray "})
	if offset > j.decode.Offset {
		frames = s.appendFrame(frames, endpoint.Frame{
			Attempt: j.attempt, Offset: offset - 1, Text: Token(j.prompt.Hash, offset-1),
		})
	}
	return frames
}

func (s *Server) appendFrame(frames []byte, f endpoint.Frame) []byte {
	raw, err := json.Marshal(f)
	if err != nil {
		return frames
	}
	return append(append(frames, raw...), '\n')
}

func (s *Server) releaseReason(j *job) *fault.Detail {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.stage == stageImport {
		return &fault.Detail{
			Kind: fault.NotFound, Message: "import failed or was cancelled",
			Remedy: "run the prefill again", Execution: fault.NotExecuted,
		}
	}
	return &fault.Detail{
		Kind: fault.Cancelled, Message: "decode was cancelled",
		Remedy: "send the request again", Execution: fault.Executed,
	}
}

// countCompletedDecode counts a response that was generated completely.
func (s *Server) countCompletedDecode(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.PrefillTokensDecoded += j.computedTokens
	s.stats.CompletedDecodes++
}
