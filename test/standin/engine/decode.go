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

// handleDecode takes an order, waits for a slot, imports the KV cache and streams tokens.
func (s *Server) handleDecode(w http.ResponseWriter, r *http.Request) {
	var o endpoint.DecodeRequest
	if !standin.ReadJSON(w, r, &o) || s.refused(w, "decode", o.Model, o.Adapter) {
		return
	}
	s.mu.Lock()
	if len(s.waiting.jobs) >= maxQueue {
		s.mu.Unlock()
		standin.Refuse(w, http.StatusTooManyRequests, fault.Overloaded, "decode queue is full")
		return
	}
	j := s.newJob(o.Attempt, stageImport, o.Priority)
	j.decode, j.next, j.caller = o, o.Offset, r.Context()
	s.stats.Decodes++
	s.waiting.push(j)
	s.startWaiting()
	s.mu.Unlock()
	s.stream(w, r, j)
}

// startWaiting gives free slots to waiting orders. The caller holds mu.
func (s *Server) startWaiting() {
	for s.busy < s.opts.Slots && s.ctx.Err() == nil {
		j := s.waiting.pop()
		if j == nil {
			return
		}
		s.busy++
		j.bytes = s.opts.KVBytesPerToken
		s.done.Add(1)
		go s.importKV(j)
	}
}

// importKV pulls a prefill's result, then puts the job into the batch.
func (s *Server) importKV(j *job) {
	defer s.done.Done()
	got, err := s.pull(j.ctx, j.decode)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, held := s.jobs[j]; !held {
		return
	}
	if err != nil {
		s.free(j)
		return
	}
	j.prompt, j.tokens, j.computed = got.Prompt, got.Tokens, got.Computed
	j.end, _ = j.prompt.length(j.decode.MaxTokens)
	j.stage, j.since, j.bytes = stageDecode, time.Now(), got.Tokens*s.opts.KVBytesPerToken
	s.running = append(s.running, j)
	s.stats.MaxRunning = max(s.stats.MaxRunning, len(s.running))
	poke(s.batchUp)
	poke(j.progress)
}

func (s *Server) pull(ctx context.Context, o endpoint.DecodeRequest) (exported, error) {
	var got exported
	if err := s.pass(ctx, func(m Mode) bool { return m.StallLink }); err != nil {
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
		return got, fault.New(fault.NotFound, "run the prefill again", "prefill's result is not kept")
	}
	if err := json.NewDecoder(resp.Body).Decode(&got); err != nil {
		return got, err
	}
	if err := s.link.Carry(ctx, got.Tokens*s.opts.KVBytesPerToken); err != nil {
		return got, err
	}
	u.Path = "/v1/export/ack"
	return got, s.acknowledge(ctx, u.String())
}

func (s *Server) acknowledge(ctx context.Context, target string) error {
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

// runBatch gives every running job one token in each step.
func (s *Server) runBatch() {
	defer s.done.Done()
	next := time.Now()
	for {
		s.mu.Lock()
		n := len(s.running)
		s.mu.Unlock()
		if n == 0 {
			select {
			case <-s.batchUp:
			case <-s.ctx.Done():
				return
			}
			next = time.Now()
			continue
		}
		if late := time.Since(next); late > heartbeat {
			next = time.Now()
		}
		next = next.Add(s.opts.GapBase + time.Duration(n)*s.opts.GapPerSlot)
		if standin.Sleep(s.ctx, time.Until(next)) != nil || s.pass(s.ctx, func(m Mode) bool { return m.StallDecode }) != nil {
			return
		}
		s.step()
	}
}

func (s *Server) step() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, j := range s.running {
		if j.next < j.end {
			j.next++
			s.stats.DecodedTokens++
			poke(j.progress)
		}
	}
}

// stream writes a job's frames. When the client leaves, the slot stays held until a cancel,
// or until OrphanHold has passed.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, j *job) {
	out := newWriter(s, w, r)
	err := out.write([]byte("\n"))
	if err == nil {
		err = s.streamFrames(out, r.Context(), j)
	}
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.free(j)
		return
	}
	s.disconnected(j)
	time.AfterFunc(s.opts.OrphanHold, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.free(j)
	})
}

func (s *Server) streamFrames(out *writer, ctx context.Context, j *job) error {
	started, given := false, j.decode.Offset
	beat := time.NewTicker(heartbeat)
	defer beat.Stop()
	for {
		frames := []byte{}
		select {
		case <-j.progress:
		case <-beat.C:
			frames = s.frame(frames, endpoint.Frame{Attempt: j.attempt, Offset: given})
		case <-j.ctx.Done():
			out.writeJSON(prefillAnswer{Error: s.whyFreed(j)})
			return nil
		case <-ctx.Done():
			return ctx.Err()
		}
		s.mu.Lock()
		importing, next, stray := j.stage == stageImport, j.next, s.mode.Stray
		s.mu.Unlock()
		if !importing && !started {
			started = true
			frames = s.frame(frames, endpoint.Frame{Attempt: j.attempt, Started: true, Offset: given})
		}
		for ; started && given < next; given++ {
			if stray {
				frames = s.strayFrames(frames, j, given)
			}
			frames = s.frame(frames, endpoint.Frame{Attempt: j.attempt, Offset: given, Text: Token(j.prompt.Hash, given)})
		}
		if started && given >= j.end {
			_, finish := j.prompt.length(j.decode.MaxTokens)
			frames = s.frame(frames, endpoint.Frame{Attempt: j.attempt, Offset: given, Done: true, FinishReason: finish})
			s.countWhole(j)
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

// strayFrames adds what a correct reader drops: a frame of another request, one of an
// earlier attempt, and one that was given before.
func (s *Server) strayFrames(frames []byte, j *job, offset int64) []byte {
	other := endpoint.Attempt{RequestID: j.attempt.RequestID + "x", Number: j.attempt.Number}
	earlier := endpoint.Attempt{RequestID: j.attempt.RequestID, Number: j.attempt.Number + 7}
	frames = s.frame(frames, endpoint.Frame{Attempt: other, Offset: offset, Text: "stray "})
	frames = s.frame(frames, endpoint.Frame{Attempt: earlier, Offset: offset, Text: "stray "})
	if offset > j.decode.Offset {
		frames = s.frame(frames, endpoint.Frame{Attempt: j.attempt, Offset: offset - 1, Text: Token(j.prompt.Hash, offset-1)})
	}
	return frames
}

func (s *Server) frame(frames []byte, f endpoint.Frame) []byte {
	raw, err := json.Marshal(f)
	if err != nil {
		return frames
	}
	return append(append(frames, raw...), '\n')
}

func (s *Server) whyFreed(j *job) *fault.Detail {
	s.mu.Lock()
	defer s.mu.Unlock()
	if j.stage == stageImport {
		return &fault.Detail{Kind: fault.NotFound, Message: "import failed or was cancelled", Remedy: "run the prefill again", Execution: fault.NotExecuted}
	}
	return &fault.Detail{Kind: fault.Cancelled, Message: "decode was cancelled", Remedy: "send the request again", Execution: fault.Executed}
}

// countWhole counts an answer that was generated to its end.
func (s *Server) countWhole(j *job) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.PrefillTokensDecoded += j.computed
	s.stats.WholeAnswers++
}
