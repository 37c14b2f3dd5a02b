// Package platform stands in for the platform's services: the object API with versions,
// conditional updates, watches, rates and outages, the lagging list of VMs and the weight store.
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

// Options size the stand-in. Zero values take defaults.
type Options struct {
	// WritesPerSecond and ReadsPerSecond are the platform's rates, with a burst of one second.
	// Defaults 300 and 2000.
	WritesPerSecond, ReadsPerSecond float64
	// ListLag is how old the list of VMs is.
	ListLag time.Duration
	// Latency is added to each call.
	Latency time.Duration
	// WeightBytes is the size of each weight object, WeightBytesPerSecond the store's rate.
	WeightBytes, WeightBytesPerSecond int64
}

// Stats count calls by kind: get, put, watch, list, vms and refused.
type Stats struct {
	Calls map[string]int64 `json:"calls"`
	// Bytes counts the values written and read.
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// Server is one platform. All its views share one state.
type Server struct {
	opts    Options
	weights *standin.Link
	closed  context.Context
	close   context.CancelFunc

	mu          sync.Mutex
	objects     map[string]objectstore.Object
	changed     chan struct{}
	lists       []vmList
	reads       rate
	writes      rate
	stats       Stats
	outage      bool
	hang        bool
	slow        time.Duration
	loseAnswers int
}

type vmList struct {
	since time.Time
	vms   []objectstore.VM
}

// New makes a platform without objects.
func New(o Options) *Server {
	o.WritesPerSecond = cmp.Or(o.WritesPerSecond, 300)
	o.ReadsPerSecond = cmp.Or(o.ReadsPerSecond, 2000)
	ctx, cancel := context.WithCancel(context.Background())
	return &Server{
		opts:    o,
		weights: standin.NewLink(o.WeightBytesPerSecond),
		closed:  ctx,
		close:   cancel,
		objects: make(map[string]objectstore.Object),
		changed: make(chan struct{}),
		reads:   rate{perSecond: o.ReadsPerSecond, tokens: o.ReadsPerSecond, last: time.Now()},
		writes:  rate{perSecond: o.WritesPerSecond, tokens: o.WritesPerSecond, last: time.Now()},
		stats:   Stats{Calls: make(map[string]int64)},
	}
}

// Close ends waiting calls.
func (s *Server) Close() { s.close() }

// Handler serves the platform with the VMs' own addresses.
func (s *Server) Handler() http.Handler {
	return s.View(func(vm objectstore.VM) objectstore.VM { return vm })
}

// View serves the platform; each VM of the list passes through translate.
func (s *Server) View(translate func(objectstore.VM) objectstore.VM) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.guard("get", &s.reads, s.get))
	mux.HandleFunc("PUT /objects/{name...}", s.guard("put", &s.writes, s.put))
	mux.HandleFunc("GET /objects", s.guard("list", &s.reads, s.list))
	mux.HandleFunc("GET /vms", s.guard("vms", &s.reads, func(w http.ResponseWriter, _ *http.Request) { s.vms(w, translate) }))
	mux.HandleFunc("GET /weights/{name...}", s.weight)
	s.control(mux)
	return mux
}

// rate is a bucket of calls.
type rate struct {
	perSecond, tokens float64
	last              time.Time
}

func (r *rate) take(now time.Time) bool {
	r.tokens = min(r.perSecond, r.tokens+now.Sub(r.last).Seconds()*r.perSecond)
	r.last = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}

// guard counts a call and applies outage, slowness and rates.
func (s *Server) guard(kind string, r *rate, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		if req.URL.Query().Has("watch_after") {
			s.admit("watch", r, w, req, next)
			return
		}
		s.admit(kind, r, w, req, next)
	}
}

func (s *Server) admit(kind string, r *rate, w http.ResponseWriter, req *http.Request, next http.HandlerFunc) {
	s.mu.Lock()
	s.stats.Calls[kind]++
	outage, hang, wait := s.outage, s.hang, s.opts.Latency+s.slow
	within := r.take(time.Now())
	if !within {
		s.stats.Calls["refused"]++
	}
	s.mu.Unlock()
	switch {
	case hang:
		<-req.Context().Done()
	case outage:
		standin.Refuse(w, http.StatusServiceUnavailable, fault.Unavailable, "platform outage")
	case !within:
		standin.Refuse(w, http.StatusTooManyRequests, fault.Overloaded, "over the platform's rate")
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
		standin.Refuse(w, http.StatusNotFound, fault.NotFound, "no such object")
		return
	}
	standin.WriteJSON(w, http.StatusOK, o)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request, after string) {
	version, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		standin.Refuse(w, http.StatusBadRequest, fault.Malformed, "watch_after is not a version")
		return
	}
	limit := time.NewTimer(objectstore.MaxWatchWait)
	defer limit.Stop()
	for {
		s.mu.Lock()
		o, changed := s.objects[r.PathValue("name")], s.changed
		away := s.outage || s.hang
		s.mu.Unlock()
		if away {
			standin.Cut(w)
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
		case <-s.closed.Done():
			return
		}
	}
}

type putBody struct {
	Value []byte `json:"value"`
}

type putAnswer struct {
	Version uint64 `json:"version"`
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var body putBody
	ifVersion, err := strconv.ParseUint(r.URL.Query().Get("if_version"), 10, 64)
	if err != nil {
		standin.Refuse(w, http.StatusBadRequest, fault.Malformed, "if_version is not a version")
		return
	}
	if !standin.ReadJSON(w, r, &body) {
		return
	}
	if len(body.Value) > objectstore.MaxValueBytes {
		standin.Refuse(w, http.StatusRequestEntityTooLarge, fault.TooLarge, "value is over 1 MiB")
		return
	}
	version, lose, ok := s.write(r.PathValue("name"), body.Value, ifVersion)
	switch {
	case !ok:
		standin.Refuse(w, http.StatusConflict, fault.Conflict, "version is "+strconv.FormatUint(version, 10))
	case lose:
		standin.Cut(w)
	default:
		standin.WriteJSON(w, http.StatusOK, putAnswer{version})
	}
}

func (s *Server) write(name string, value []byte, ifVersion uint64) (version uint64, lose, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o := s.objects[name]
	if o.Version != ifVersion {
		return o.Version, false, false
	}
	o = objectstore.Object{Name: name, Version: o.Version + 1, Value: value}
	s.objects[name] = o
	s.stats.BytesIn += int64(len(value))
	s.wake()
	if s.loseAnswers > 0 {
		s.loseAnswers--
		lose = true
	}
	return o.Version, lose, true
}

// wake lets waiting watches look again. The caller holds mu.
func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

type listAnswer struct {
	Objects []objectstore.Object `json:"objects"`
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	answer := listAnswer{Objects: []objectstore.Object{}}
	s.mu.Lock()
	for name, o := range s.objects {
		if strings.HasPrefix(name, prefix) {
			answer.Objects = append(answer.Objects, objectstore.Object{Name: name, Version: o.Version})
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Objects, func(a, b objectstore.Object) int { return strings.Compare(a.Name, b.Name) })
	standin.WriteJSON(w, http.StatusOK, answer)
}

type vmsAnswer struct {
	VMs []objectstore.VM `json:"vms"`
}

func (s *Server) vms(w http.ResponseWriter, translate func(objectstore.VM) objectstore.VM) {
	answer := vmsAnswer{VMs: []objectstore.VM{}}
	for _, vm := range s.visibleVMs(time.Now()) {
		answer.VMs = append(answer.VMs, translate(vm))
	}
	standin.WriteJSON(w, http.StatusOK, answer)
}

func (s *Server) visibleVMs(now time.Time) []objectstore.VM {
	s.mu.Lock()
	defer s.mu.Unlock()
	var seen []objectstore.VM
	for _, l := range s.lists {
		if now.Sub(l.since) >= s.opts.ListLag {
			seen = l.vms
		}
	}
	return seen
}

func (s *Server) weight(w http.ResponseWriter, r *http.Request) {
	if s.weights.Carry(r.Context(), s.opts.WeightBytes) == nil {
		w.WriteHeader(http.StatusOK)
	}
}
