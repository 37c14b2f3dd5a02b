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

// Server is a simulated engine.
type Server struct {
	opts   Options
	link   *standin.Link
	client *http.Client
	ctx    context.Context
	stop   context.CancelFunc
	done   sync.WaitGroup

	mu           sync.Mutex
	role         string
	models       []string
	adapters     []string
	fencingToken uint64
	jobs         map[*job]struct{}
	results      map[string]*job
	handleCount  uint64
	prefillQueue queue
	decodeQueue  queue
	busySlots    int
	running      []*job
	cache        cache
	reports      []endpoint.Load
	mode         Mode
	modeChanged  chan struct{}
	prefillReady chan struct{}
	batchReady   chan struct{}
	stats        Stats
	seen         map[string]bool
}

// job is the prefill or the decode of one request, with its allocated memory.
type job struct {
	attempt     endpoint.Attempt
	stage       string
	memoryBytes int64
	stageStart  time.Time
	priority    int
	ctx         context.Context
	cancel      context.CancelFunc
	// requestCtx ends when the connection of the request closes.
	requestCtx context.Context

	prefill        endpoint.PrefillRequest
	result         chan endpoint.PrefillResult
	prompt         Prompt
	promptTokens   int64
	computedTokens int64
	activeExports  int
	expires        time.Time

	decode    endpoint.DecodeRequest
	nextToken int64
	endToken  int64
	progress  chan struct{}
}

// The stages of endpoint.Allocation.
const (
	stagePrefill = "prefill"
	stageKept    = endpoint.StageKept
	stageImport  = "import"
	stageDecode  = "decode"
)

// New starts an idle engine. The caller must call Close.
func New(o Options) *Server {
	o = o.withDefaults()
	ctx, stop := context.WithCancel(context.Background())
	s := &Server{
		opts:         o,
		link:         standin.NewLink(o.LinkBytesPerSecond),
		client:       &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: o.Slots}},
		ctx:          ctx,
		stop:         stop,
		role:         o.Role,
		models:       []string{o.Model},
		adapters:     slices.Clone(o.Adapters),
		jobs:         make(map[*job]struct{}),
		results:      make(map[string]*job),
		modeChanged:  make(chan struct{}),
		prefillReady: make(chan struct{}, 1),
		batchReady:   make(chan struct{}, 1),
		cache:        newCache(o.CachePieces, o.EventDropInterval),
		seen:         make(map[string]bool),
		stats:        Stats{Headers: make(map[string]int64)},
	}
	s.done.Add(3)
	go s.runPrefills()
	go s.runBatch()
	go s.recordReports()
	return s
}

// Close stops all work.
func (s *Server) Close() {
	s.mu.Lock()
	s.stop()
	s.mu.Unlock()
	s.done.Wait()
	s.client.CloseIdleConnections()
}

// Handler returns the engine's HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/prefill", s.handlePrefill)
	mux.HandleFunc("POST /v1/decode", s.handleDecode)
	mux.HandleFunc("POST /v1/cancel", s.handleCancel)
	mux.HandleFunc("GET /v1/load", s.handleLoad)
	mux.HandleFunc("GET /v1/held", s.handleAllocations)
	mux.HandleFunc("GET /v1/events", s.handleEvents)
	mux.HandleFunc("POST /v1/order", s.handleConfigure)
	mux.HandleFunc("GET /v1/export", s.handleExport)
	mux.HandleFunc("POST /v1/export/ack", s.handleExportAck)
	s.registerControl(mux)
	return s.middleware(mux)
}

// newJob registers a job. The caller must hold mu.
func (s *Server) newJob(attempt endpoint.Attempt, stage string, priority int) *job {
	ctx, cancel := context.WithCancel(s.ctx)
	j := &job{
		attempt: attempt, stage: stage, stageStart: time.Now(), priority: priority, ctx: ctx, cancel: cancel,
		result: make(chan endpoint.PrefillResult, 1), progress: make(chan struct{}, 1),
	}
	s.jobs[j] = struct{}{}
	if len(s.seen) < maxSeenRequests {
		s.seen[attempt.RequestID] = true
	}
	return j
}

const maxSeenRequests = 1 << 20

// release removes a job and frees its memory and slot. The caller must hold mu.
func (s *Server) release(j *job) {
	if _, ok := s.jobs[j]; !ok {
		return
	}
	delete(s.jobs, j)
	j.cancel()
	for handle, k := range s.results {
		if k == j {
			delete(s.results, handle)
		}
	}
	s.prefillQueue.remove(j)
	s.decodeQueue.remove(j)
	if i := slices.Index(s.running, j); i >= 0 {
		s.running = slices.Delete(s.running, i, i+1)
	}
	if j.stage == stageDecode || (j.stage == stageImport && j.memoryBytes > 0) {
		s.busySlots--
		s.startQueued()
	}
}

// rejects responds with an error and returns true if the engine has another role, has not loaded
// the model or adapter, or simulates rejections.
func (s *Server) rejects(w http.ResponseWriter, role, model, adapter string) bool {
	s.mu.Lock()
	mode, ownRole := s.mode, s.role
	loaded := slices.Contains(s.models, model) && (adapter == "" || slices.Contains(s.adapters, adapter))
	s.mu.Unlock()
	switch {
	case mode.RejectRequests:
		standin.WriteError(w, http.StatusServiceUnavailable, fault.Unavailable, "engine rejects all requests")
	case ownRole != role:
		standin.WriteError(w, http.StatusConflict, fault.Conflict, "engine's role is "+ownRole)
	case !loaded:
		standin.WriteError(w, http.StatusNotFound, fault.NotFound,
			fmt.Sprintf("model %q with adapter %q is not loaded", model, adapter))
	default:
		return false
	}
	return true
}

type cancelRequest struct {
	Request string `json:"request"`
}

func (s *Server) handleCancel(w http.ResponseWriter, r *http.Request) {
	var o cancelRequest
	if !standin.ReadJSON(w, r, &o) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mode.DropCancels > 0 {
		s.mode.DropCancels--
		standin.DropConnection(w)
		return
	}
	s.stats.Cancels++
	for j := range s.jobs {
		if j.attempt.RequestID == o.Request {
			s.release(j)
		}
	}
	standin.WriteJSON(w, http.StatusOK, struct{}{})
}

// Allocations returns the engine's current allocations.
func (s *Server) Allocations() []endpoint.Allocation {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]endpoint.Allocation, 0, len(s.jobs))
	now := time.Now()
	for j := range s.jobs {
		out = append(out, endpoint.Allocation{
			Attempt: j.attempt, Stage: j.stage, Bytes: j.memoryBytes, AgeMillis: now.Sub(j.stageStart).Milliseconds(),
			Attached: j.requestCtx != nil && j.requestCtx.Err() == nil,
		})
	}
	return out
}

type allocationsResponse struct {
	Allocations []endpoint.Allocation `json:"held"`
}

func (s *Server) handleAllocations(w http.ResponseWriter, _ *http.Request) {
	standin.WriteJSON(w, http.StatusOK, allocationsResponse{s.Allocations()})
}

// queue orders jobs by priority, then by arrival.
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

// wake wakes a loop that waits on c. It does not block.
func wake(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
