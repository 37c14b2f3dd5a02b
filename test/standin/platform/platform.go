// Package platform simulates the platform's services: the object API with versions, conditional
// updates, watches, rate limits and outages, the delayed list of VMs, and the weight store.
package platform

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/test/standin"
)

// Options configures the stand-in. Zero values select the defaults.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are the platform's rate limits, with a burst of one second.
	// Defaults 300 and 2000.
	WritesPerSecond, ReadsPerSecond float64
	// ListLag is how long a change to the list of VMs takes to become visible.
	ListLag time.Duration
	// Latency is added to each call.
	Latency time.Duration
	// WeightBytes is the size of each weight object, WeightBytesPerSecond the store's transfer rate.
	WeightBytes, WeightBytesPerSecond int64
}

// Stats counts calls by kind: get, put, watch, list and vms. Those over the rate limits also
// count as refused.
type Stats struct {
	Calls map[string]int64 `json:"calls"`
	// BytesIn and BytesOut count the bytes of the values written and read. BytesOut does not include
	// watch responses.
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// Server is a simulated platform. All its views share one state.
type Server struct {
	opts    Options
	weights *standin.Link
	ctx     context.Context
	cancel  context.CancelFunc

	mu                 sync.Mutex
	objects            map[string]objectstore.Object
	changed            chan struct{}
	vmLists            []vmList
	reads              tokenBucket
	writes             tokenBucket
	stats              Stats
	outage             bool
	hang               bool
	extraLatency       time.Duration
	dropWriteResponses int
}

type vmList struct {
	publishedAt time.Time
	vms         []objectstore.VM
}

// New returns a platform without objects.
func New(o Options) *Server {
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, 300)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, 2000)
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		opts:    o,
		weights: standin.NewLink(o.WeightBytesPerSecond),
		ctx:     ctx,
		cancel:  cancel,
		objects: make(map[string]objectstore.Object),
		changed: make(chan struct{}),
		reads:   tokenBucket{perSecond: o.ReadsPerSecond, tokens: o.ReadsPerSecond, last: time.Now()},
		writes:  tokenBucket{perSecond: o.WritesPerSecond, tokens: o.WritesPerSecond, last: time.Now()},
		stats:   Stats{Calls: make(map[string]int64)},
	}
}

// Close ends pending watches.
func (s *Server) Close() { s.cancel() }

// Handler returns a handler for the platform's API that lists the VMs with their own addresses.
func (s *Server) Handler() http.Handler {
	return s.View(func(vm objectstore.VM) objectstore.VM { return vm })
}

// View returns a handler for the platform's API that applies translate to each listed VM.
func (s *Server) View(translate func(objectstore.VM) objectstore.VM) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.withLimits("get", &s.reads, s.get))
	mux.HandleFunc("PUT /objects/{name...}", s.withLimits("put", &s.writes, s.put))
	mux.HandleFunc("GET /objects", s.withLimits("list", &s.reads, s.list))
	mux.HandleFunc("GET /vms", s.withLimits("vms", &s.reads, func(w http.ResponseWriter, _ *http.Request) {
		s.vms(w, translate)
	}))
	mux.HandleFunc("GET /weights/{name...}", s.weight)
	s.registerControl(mux)
	return mux
}

// tokenBucket limits the rate of calls.
type tokenBucket struct {
	perSecond, tokens float64
	last              time.Time
}

func (b *tokenBucket) allow(now time.Time) bool {
	b.tokens = min(b.perSecond, b.tokens+now.Sub(b.last).Seconds()*b.perSecond)
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// withLimits returns a handler that counts calls and applies outages, latency and rate limits.
func (s *Server) withLimits(kind string, bucket *tokenBucket, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Has("watch_after") {
			s.handle("watch", bucket, w, req, next)
			return
		}
		s.handle(kind, bucket, w, req, next)
	}
}

func (s *Server) handle(kind string, bucket *tokenBucket, w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	s.mu.Lock()
	s.stats.Calls[kind]++
	outage, hang, wait := s.outage, s.hang, s.opts.Latency+s.extraLatency
	allowed := bucket.allow(time.Now())
	if !allowed {
		s.stats.Calls["refused"]++
	}
	s.mu.Unlock()
	switch {
	case hang:
		<-req.Context().Done()
	case outage:
		standin.WriteError(w, http.StatusServiceUnavailable, fault.Unavailable, "platform outage")
	case !allowed:
		standin.WriteError(w, http.StatusTooManyRequests, fault.Overloaded, "platform rate limit exceeded")
	case standin.Sleep(req.Context(), wait) == nil:
		next(w, req)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	after := r.URL.Query().Get("watch_after")
	if after != "" {
		s.watch(w, r, after)
		return
	}
	s.mu.Lock()
	o, ok := s.objects[r.PathValue("name")]
	s.stats.BytesOut += int64(len(o.Value))
	s.mu.Unlock()
	if !ok {
		standin.WriteError(w, http.StatusNotFound, fault.NotFound, "no such object")
		return
	}
	standin.WriteJSON(w, http.StatusOK, o)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, after string) {
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, fault.Malformed, "watch_after is not a valid version")
		return
	}
	limit := time.NewTimer(objectstore.MaxWatchWait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		o, changed := s.objects[r.PathValue("name")], s.changed
		unavailable := s.outage || s.hang
		s.mu.Unlock()
		if unavailable {
			standin.DropConnection(w)
			return
		}
		if o.Version > version {
			standin.WriteJSON(w, http.StatusOK, o)
			return
		}
		select {
		case <-changed:
		case <-limit.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		case <-s.ctx.Done():
			return
		}
	}
}

type putBody struct {
	Value []byte `json:"value"`
}

type putResponse struct {
	Version uint64 `json:"version"`
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body putBody
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		standin.WriteError(w, http.StatusBadRequest, fault.Malformed, "if_version is not a valid version")
		return
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if len(body.Value) > objectstore.MaxValueBytes {
		standin.WriteError(w, http.StatusRequestEntityTooLarge, fault.TooLarge, "value exceeds 1 MiB")
		return
	}
	version, dropResponse, ok := s.write(r.PathValue("name"), body.Value, ifVersion)
	switch {
	case !ok:
		standin.WriteError(w, http.StatusConflict, fault.Conflict,
			"if_version is not the current version "+strconv.FormatUint(version, 10))
	case dropResponse:
		standin.DropConnection(w)
	default:
		standin.WriteJSON(w, http.StatusOK, putResponse{version})
	}
}

func (s *Server) write(name string, value []byte, ifVersion uint64) (version uint64, dropResponse, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[name]
	if o.Version != ifVersion {
		return o.Version, false, false
	}
	o = objectstore.Object{Name: name, Version: o.Version + 1, Value: value}
	s.objects[name] = o
	s.stats.BytesIn += int64(len(value))
	s.notifyWatchers()
	if s.dropWriteResponses > 0 {
		s.dropWriteResponses--
		dropResponse = true
	}
	return o.Version, dropResponse, true
}

// notifyWatchers wakes pending watches, which check their object again. The caller must hold mu.
func (s *Server) notifyWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type listResponse struct {
	Objects []objectstore.Object `json:"objects"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	resp := listResponse{Objects: []objectstore.Object{}}
	s.mu.Lock()
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			resp.Objects = append(resp.Objects, objectstore.Object{Name: name, Version: o.Version})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(resp.Objects, func(a, b objectstore.Object) int { return strings.Compare(a.Name, b.Name) })
	standin.WriteJSON(w, http.StatusOK, resp)
}

type vmListResponse struct {
	VMs []objectstore.VM `json:"vms"`
}

func (s *Server) vms(w http.ResponseWriter, translate func(objectstore.VM) objectstore.VM) {
	resp := vmListResponse{VMs: []objectstore.VM{}}
	for _, vm := range s.visibleVMs(time.Now()) {
		resp.VMs = append(resp.VMs, translate(vm))
	}
	standin.WriteJSON(w, http.StatusOK, resp)
}

func (s *Server) visibleVMs(now time.Time) []objectstore.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var visible []objectstore.VM
	for _, l := range s.vmLists {
		if now.Sub(l.publishedAt) >= s.opts.ListLag {
			visible = l.vms
		}
	}
	return visible
}

func (s *Server) weight(w http.ResponseWriter, r *http.Request) {
	if s.weights.Transfer(r.Context(), s.opts.WeightBytes) == nil {
		w.WriteHeader(http.StatusOK)
	}
}
