// Package stand holds small stand-ins of the users' platform for the review's scripts: the store, replicas and clients.
// They run on loopback addresses and behave as the users' pages say unless a case makes them misbehave.
package stand

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"reflect"
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

	writtenAt time.Time
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

const (
	// kindServers is the kind of the replicas' entries. One that is not written for lapseAfter, three check-in intervals, is
	// removed.
	kindServers = "servers"
	lapseAfter  = 3 * Heartbeat
	lapsePeriod = 100 * time.Millisecond
	// era is the store's era, which all answers name. It never comes back from a copy here.
	era = "1"
)

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: ln.Addr().String(), revision: 100, objects: map[string]map[string]*object{}}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(ln) }()
	go s.lapse()
	return s, nil
}

// Close ends the store.
func (s *Store) Close() { _ = s.server.Close() }

// lapse removes the entries of replicas that have fallen silent.
func (s *Store) lapse() {
	for range time.Tick(lapsePeriod) {
		s.mu.Lock()
		for name, o := range s.objects[kindServers] {
			if time.Since(o.writtenAt) > lapseAfter {
				s.revision++
				delete(s.objects[kindServers], name)
			}
		}
		s.mu.Unlock()
	}
}

// Put writes an object as the operator or a replica does.
func (s *Store) Put(kind, name string, spec any) error {
	raw, err := json.Marshal(spec)
	if err != nil {
		return err
	}
	s.PutText(kind, name, string(raw))
	return nil
}

// PutText is Put with the JSON text of the content.
func (s *Store) PutText(kind, name, spec string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, json.RawMessage(spec))
}

func (s *Store) write(kind, name string, spec json.RawMessage) *object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]*object{}
	}
	o := s.objects[kind][name]
	if o != nil && (string(o.Spec) == string(spec) || kind == kindServers && differsInSeqOnly(o.Spec, spec)) {
		o.Spec, o.writtenAt = spec, time.Now() // a write that changes nothing does not increase the revision
		return o
	}
	s.revision++
	next := &object{writtenAt: time.Now(), Metadata: metadata{Name: name, Revision: s.revision, CreateRev: s.revision, Finalizers: []string{}}, Spec: spec}
	if o != nil {
		next.Metadata.CreateRev = o.Metadata.CreateRev
	}
	s.objects[kind][name] = next
	return next
}

// differsInSeqOnly reports whether two entries of a replica differ in nothing but the number of their writes.
func differsInSeqOnly(a, b json.RawMessage) bool {
	var x, y map[string]any
	if json.Unmarshal(a, &x) != nil || json.Unmarshal(b, &y) != nil {
		return false
	}
	delete(x, "seq")
	delete(y, "seq")
	return reflect.DeepEqual(x, y)
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
	w.Header().Set("Store-Era", era)
	w.WriteHeader(status)
	_, _ = io.WriteString(w, out)
}

func (s *Store) call(r *http.Request, kind, name string, body *object) (status int, out string) {
	switch r.Method {
	case http.MethodGet:
		if name == "" {
			return http.StatusOK, s.list(kind, r.URL.Query().Get("after"))
		}
		if o := s.objects[kind][name]; o != nil {
			return http.StatusOK, o.text()
		}
		return http.StatusNotFound, ""
	case http.MethodPost:
		if o := s.objects[kind][body.Metadata.Name]; o != nil {
			return http.StatusConflict, o.text()
		}
		return http.StatusOK, s.write(kind, body.Metadata.Name, body.Spec).text()
	case http.MethodPut:
		o := s.objects[kind][name]
		if o == nil {
			return http.StatusNotFound, ""
		}
		if body.Metadata.Revision != 0 && body.Metadata.Revision != o.Metadata.Revision {
			return http.StatusConflict, o.text()
		}
		return http.StatusOK, s.write(kind, name, body.Spec).text()
	case http.MethodDelete:
		o := s.objects[kind][name]
		if o == nil {
			return http.StatusNotFound, ""
		}
		if want, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64); err == nil && want != 0 && want != o.Metadata.Revision {
			return http.StatusConflict, o.text()
		}
		s.revision++
		delete(s.objects[kind], name)
		return http.StatusOK, o.text()
	}
	return http.StatusMethodNotAllowed, ""
}

// text returns the JSON text of an object. The content is what its writer wrote.
func (o *object) text() string {
	meta, err := json.Marshal(&o.Metadata)
	if err != nil {
		return "null"
	}
	return `{"metadata":` + string(meta) + `,"spec":` + string(o.Spec) + `,"status":null}`
}

func (s *Store) list(kind, after string) string {
	var names []string
	for name := range s.objects[kind] {
		if name > after {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	hasMore := len(names) > page
	var items []string
	for _, name := range names[:min(len(names), page)] {
		items = append(items, s.objects[kind][name].text())
	}
	return fmt.Sprintf(`{"items":[%s],"hasMore":%t,"storeRevision":%d}`, strings.Join(items, ","), hasMore, s.revision)
}
