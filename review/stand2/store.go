package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// meta is the metadata of an object in the store.
type meta struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// storeObject is an object in the store.
type storeObject struct {
	Meta   meta            `json:"metadata"`
	Spec   json.RawMessage `json:"spec"`
	Status json.RawMessage `json:"status"`
}

// store is a stand-in of the platform's store: objects by kind and name, one revision counter, conditional writes.
type store struct {
	listener net.Listener
	// closed is set once the store has left its first address.
	closed atomic.Bool
	// down is set while it answers 503 to all calls.
	down atomic.Bool

	mu sync.Mutex
	// written is when each entry of kind servers was written last, by name.
	written  map[string]time.Time
	revision uint64
	era      uint64
	objects  map[string]map[string]storeObject
}

const storePage = 50

func newStore(address string) (*store, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{listener: ln, revision: 100, era: 1, objects: map[string]map[string]storeObject{}, written: map[string]time.Time{}}
	go s.lapse()
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(ln) }()
	return s, nil
}

// lapse removes entries of servers after three check-in intervals of silence, but not while the store is down.
func (s *store) lapse() {
	for {
		time.Sleep(heartbeat / 6)
		s.mu.Lock()
		for name, at := range s.written {
			if _, ok := s.objects["servers"][name]; ok && !s.down.Load() && time.Since(at) > 3*heartbeat {
				s.revision++
				delete(s.objects["servers"], name)
			}
		}
		s.mu.Unlock()
	}
}

// setDown takes the store away, or brings it back. The silence of servers counts anew from its return.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down.Store(down)
	for name := range s.written {
		s.written[name] = time.Now()
	}
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes an object as the operator or a server does, without a condition.
func (s *store) put(kind, name string, spec any) {
	raw := encode(spec)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// write stores an object. s.mu must be held.
func (s *store) write(kind, name string, raw json.RawMessage) storeObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storeObject{}
	}
	o, ok := s.objects[kind][name]
	if ok && string(o.Spec) == string(raw) {
		return o
	}
	s.revision++
	if !ok {
		o.Meta.Name, o.Meta.CreateRev = name, s.revision
	}
	o.Meta.Revision, o.Spec = s.revision, raw
	s.objects[kind][name] = o
	return o
}

// beat writes an entry of a server. Its revision does not change if only seq does.
func (s *store) beat(name string, entry map[string]any) {
	raw, same := encode(entry), withoutSeq(encode(entry))
	s.mu.Lock()
	defer s.mu.Unlock()
	s.written[name] = time.Now()
	if o, ok := s.objects["servers"][name]; ok && string(withoutSeq(o.Spec)) == string(same) {
		o.Spec = raw
		s.objects["servers"][name] = o
		return
	}
	s.write("servers", name, raw)
}

func encode(v any) []byte {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return raw
}

// withoutSeq returns an entry without its counter.
func withoutSeq(raw []byte) []byte {
	var entry map[string]any
	if json.Unmarshal(raw, &entry) != nil {
		return raw
	}
	delete(entry, "seq")
	return encode(entry)
}

// remove removes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; ok {
		s.revision++
		delete(s.objects[kind], name)
	}
}

// ServeHTTP serves the calls of the system.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.closed.Load() {
		if a, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr); ok && a.String() != s.address() {
			panic(http.ErrAbortHandler) // on a kept channel
		}
	}
	if s.down.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	path, ok := strings.CutPrefix(r.URL.Path, "/v1/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	name, _ = strings.CutSuffix(name, "/status")
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	w.Header().Set("Content-Type", "application/json")
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			s.list(w, r, kind)
			return
		}
		s.get(w, kind, name)
	case http.MethodPost:
		s.create(w, kind, body)
	case http.MethodPut:
		s.replace(w, kind, name, body)
	case http.MethodDelete:
		s.delete(w, r, kind, name)
	default:
		w.WriteHeader(http.StatusMethodNotAllowed)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_, _ = w.Write(encode(body))
}

func (s *store) list(w http.ResponseWriter, r *http.Request, kind string) {
	var names []string
	for name := range s.objects[kind] {
		if name > r.URL.Query().Get("after") {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	more := len(names) > storePage
	items := []storeObject{}
	for _, name := range names[:min(len(names), storePage)] {
		items = append(items, s.objects[kind][name])
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "storeRevision": s.revision})
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	o, ok := s.objects[kind][name]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, kind string, body []byte) {
	var in storeObject
	if json.Unmarshal(body, &in) != nil || in.Meta.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if o, ok := s.objects[kind][in.Meta.Name]; ok {
		reply(w, http.StatusConflict, o)
		return
	}
	reply(w, http.StatusOK, s.write(kind, in.Meta.Name, in.Spec))
}

func (s *store) replace(w http.ResponseWriter, kind, name string, body []byte) {
	var in storeObject
	if json.Unmarshal(body, &in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case in.Meta.Revision != 0 && in.Meta.Revision != o.Meta.Revision:
		reply(w, http.StatusConflict, o)
	default:
		reply(w, http.StatusOK, s.write(kind, name, in.Spec))
	}
}

func (s *store) delete(w http.ResponseWriter, r *http.Request, kind, name string) {
	o, ok := s.objects[kind][name]
	revision := r.URL.Query().Get("revision")
	switch {
	case !ok:
		w.WriteHeader(http.StatusNotFound)
	case revision != "" && revision != strconv.FormatUint(o.Meta.Revision, 10):
		reply(w, http.StatusConflict, o)
	default:
		s.revision++
		delete(s.objects[kind], name)
		reply(w, http.StatusOK, o)
	}
}
