// Package stand holds small stand-ins of the users' platform for the review's scripts: the store, replicas and clients.
// They run on loopback addresses and behave as the users' pages say unless a case makes them misbehave.
package stand

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

type metadata struct {
	Name       string   `json:"name"`
	Revision   uint64   `json:"revision"`
	CreateRev  uint64   `json:"createRev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Addr string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]*object
	server   *http.Server
}

// storeLatency is the time of an answer, as the users' sheets give it.
const storeLatency = 4 * time.Millisecond

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: ln.Addr().String(), revision: 100, objects: map[string]map[string]*object{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes an object as the operator or a replica does.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
	return nil
}

func (s *Store) write(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && string(o.Spec) == string(spec) {
		return o // a write that changes nothing does not increase the revision
	}
	s.revision++
	next := &object{Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec}
	if o != nil {
		next.Metadata.CreateRev = o.Metadata.CreateRev
	}
	s.objects[kind][name] = next
	return next
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[kind][name] != nil {
		s.revision++
		delete(s.objects[kind], name)
	}
}

// page is the number of objects in one answer to a list call.
const page = 500

// ServeHTTP implements the calls on objects.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/v1/objects/"), "/")
	var body object
	if r.Method == http.MethodPost || r.Method == http.MethodPut {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	status, out := s.call(r, kind, name, &body)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if out != nil {
		_ = json.NewEncoder(w).Encode(out)
	}
}

func (s *Store) call(r *http.Request, kind, name string, body *object) (status int, out any) {
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
		}
		if o := s.objects[kind][name]; o != nil {
			return http.StatusOK, o
		}
		return http.StatusNotFound, nil
	case http.MethodPost:
		if o := s.objects[kind][body.Metadata.Name]; o != nil {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.write(kind, body.Metadata.Name, body.Spec)
	case http.MethodPut:
		o := s.objects[kind][name]
		if o == nil {
			return http.StatusNotFound, nil
		}
		if body.Metadata.Revision != 0 && body.Metadata.Revision != o.Metadata.Revision {
			return http.StatusConflict, o
		}
		return http.StatusOK, s.write(kind, name, body.Spec)
	case http.MethodDelete:
		o := s.objects[kind][name]
		if o == nil {
			return http.StatusNotFound, nil
		}
		if want, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil && want != 0 && want != o.Metadata.Revision {
			return http.StatusConflict, o
		}
		s.revision++
		delete(s.objects[kind], name)
		return http.StatusOK, o
	}
	return http.StatusMethodNotAllowed, nil
}

// listing is the answer to a list call.
type listing struct {
	Items         []*object `json:"items"`
	HasMore       bool      `json:"hasMore"`
	StoreRevision uint64    `json:"storeRevision"`
}

func (s *Store) list(kind, after string) listing {
	l := listing{Items: []*object{}, StoreRevision: s.revision}
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	if len(names) > page {
		names, l.HasMore = names[:page], true
	}
	for _, name := range names {
		l.Items = append(l.Items, s.objects[kind][name])
	}
	return l
}
