package engine

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/standin"
)

// Server is one engine.
type Server struct {
	opts   Options
	link   *standin.Link
	client *http.Client
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	role     string
	models   []string
	adapters []string
	fence    uint64
	jobs     map[*job]struct{}
	kept     map[string]*job
	handles  uint64
	prefills queue
	waiting  queue
	busy     int
	running  []*job
	cache    cache
	reports  []endpoint.Load
	mode     Mode
	changed  chan struct{}
	wakeup   chan struct{}
	batchUp  chan struct{}
	stats    Stats
	seen     map[string]bool
}

// job is one stage of one request, with the memory it holds.
type job struct {
	attempt  endpoint.Attempt
	stage    string
	bytes    int64
	since    time.Time
	priority int
	ctx      context.Context
	cancel   context.CancelFunc
	// caller ends with the connection on which the order came.
	caller context.Context

	prefill  endpoint.PrefillRequest
	result   chan endpoint.PrefillResult
	prompt   Prompt
	tokens   int64
	computed int64
	exports  int
	expires  time.Time

	decode   endpoint.DecodeRequest
	next     int64
	end      int64
	progress chan struct{}
}

// The stages of endpoint.Allocation.
const (
	stagePrefill = "prefill"
	stageKept    = endpoint.StageKept
	stageImport  = "import"
	stageDecode  = "decode"
)

// New makes an idle engine and starts its work. Close ends it.
func New(o Options) *Server {
	o = o.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		opts:     o,
		link:     standin.NewLink(o.LinkBytesPerSecond),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots}},
		ctx:      ctx,
		stop:     stop,
		role:     o.Role,
		models:   []string{o.Model},
		adapters: slices.Clone(o.Adapters),
		jobs:     make(map[*job]struct{}),
		kept:     make(map[string]*job),
		changed:  make(chan struct{}),
		wakeup:   make(chan struct{}, 1),
		batchUp:  make(chan struct{}, 1),
		cache:    newCache(o.CachePieces, o.EventGap),
		seen:     make(map[string]bool),
		stats:    Stats{Headers: make(map[string]int64)},
	}
	s.done.Add(3)
	go s.runPrefills()
	go s.runBatch()
	go s.runReports()
	return s
}

// Close ends all work.
func (s *Server) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.done.Wait()
	s.client.CloseIdleConnections()
}

// Handler serves the engine.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/prefill", s.handlePrefill)
	mux.HandleFunc("POST /v1/decode", s.handleDecode)
	mux.HandleFunc("POST /v1/cancel", s.handleCancel)
	mux.HandleFunc("GET /v1/load", s.handleLoad)
	mux.HandleFunc("GET /v1/held", s.handleHeld)
	mux.HandleFunc("GET /v1/events", s.handleEvents)
	mux.HandleFunc("POST /v1/order", s.handleOrder)
	mux.HandleFunc("GET /v1/export", s.handleExport)
	mux.HandleFunc("POST /v1/export/ack", s.handleExportAck)
	s.control(mux)
	return s.gate(mux)
}

// newJob books a job. The caller holds mu.
func (s *Server) newJob(attempt endpoint.Attempt, stage string, priority int) *job {
	ctx, cancel := context.WithCancel(s.ctx)
	j := &job{
		attempt: attempt, stage: stage, since: time.Now(), priority: priority, ctx: ctx, cancel: cancel,
		result: make(chan endpoint.PrefillResult, 1), progress: make(chan struct{}, 1),
	}
	s.jobs[j] = struct{}{}
	if len(s.seen) < maxSeen {
		s.seen[attempt.RequestID] = true
	}
	return j
}

const maxSeen = 1 << 20

// free drops a job and all it holds. The caller holds mu.
func (s *Server) free(j *job) {
	if _, ok := s.jobs[j]; !ok {
		return
	}
	delete(s.jobs, j)
	j.cancel()
	for handle, k := range s.kept {
		if k == j {
			delete(s.kept, handle)
		}
	}
	s.prefills.remove(j)
	s.waiting.remove(j)
	if i := slices.Index(s.running, j); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if j.stage == stageDecode || (j.stage == stageImport && j.bytes > 0) {
		s.busy--
		s.startWaiting()
	}
}

// refused answers orders that this engine does not take: it serves another model or role, or
// is told to refuse.
func (s *Server) refused(w http.ResponseWriter, role, model, adapter string) bool {
	s.mu.Lock()
	mode, own := s.mode, s.role
	known := slices.Contains(s.models, model) && (adapter == "" || slices.Contains(s.adapters, adapter))
	s.mu.Unlock()
	switch {
	case mode.Refuse:
		standin.Refuse(w, http.StatusServiceUnavailable, fault.Unavailable, "engine refuses")
	case own != role:
		standin.Refuse(w, http.StatusConflict, fault.Conflict, "engine's role is "+own)
	case !known:
		standin.Refuse(w, http.StatusNotFound, fault.NotFound, fmt.Sprintf("model %q with adapter %q is not loaded", model, adapter))
	default:
		return false
	}
	return true
}

type cancelOrder struct {
	Request string `json:"request"`
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var o cancelOrder
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.DropCancels > 0 {
		s.mode.DropCancels--
		standin.Cut(w)
		return
	}
	s.stats.Cancels++
	for j := range s.jobs {
		if j.attempt.RequestID == o.Request {
			s.free(j)
		}
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// Held gives what the engine holds.
func (s *Server) Held() []endpoint.Allocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := make([]endpoint.Allocation, 0, len(s.jobs))
	now := time.Now()
	for j := range s.jobs {
		held = append(held, endpoint.Allocation{
			Attempt: j.attempt, Stage: j.stage, Bytes: j.bytes, AgeMillis: now.Sub(j.since).Milliseconds(),
			Attached: j.caller != nil && j.caller.Err() == nil,
		})
	}
	return held
}

type heldAnswer struct {
	Held []endpoint.Allocation `json:"held"`
}

func (s *Server) handleHeld(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, heldAnswer{s.Held()})
}

// queue holds waiting jobs by priority, then by arrival.
type queue struct{ jobs []*job }

func (q *queue) push(j *job) {
	i := len(q.jobs)
	for i > 0 && q.jobs[i-1].priority > j.priority {
		i--
	}
	q.jobs = slices.Insert(q.jobs, i, j)
}

func (q *queue) pop() *job {
	if len(q.jobs) == 0 {
		return nil
	}
	j := q.jobs[0]
	q.jobs = q.jobs[1:]
	return j
}

func (q *queue) remove(j *job) {
	if i := slices.Index(q.jobs, j); i >= 0 {
		q.jobs = slices.Delete(q.jobs, i, i+1)
	}
}

// poke wakes a loop that waits on c.
func poke(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
