package platform

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/test/standin"
)

// SetVMs replaces the list of VMs. Readers see the change after ListLag.
func (s *Server) SetVMs(vms []objectstore.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.vmLists = append(s.vmLists, vmList{publishedAt: time.Now(), vms: slices.Clone(vms)})
}

// ForcePut writes an object whatever its current version and returns the new version. It must not run
// concurrently with other writes of the object: the write is dropped if the version changes meanwhile.
func (s *Server) ForcePut(name string, value []byte) uint64 {
	s.mu.Lock()
	version := s.objects[name].Version
	s.mu.Unlock()
	version, _, _ = s.write(name, value, version)
	return version
}

// Object returns the current object without counting a call.
func (s *Server) Object(name string) (objectstore.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok
}

// SetOutage makes the calls for objects and the list of VMs fail with 503 while on, and drops pending
// watches. The weight store is not affected.
func (s *Server) SetOutage(on bool) { s.setMode(func() { s.outage = on }) }

// SetHang makes the calls for objects and the list of VMs hang without a response while on, and drops
// pending watches. The weight store is not affected.
func (s *Server) SetHang(on bool) { s.setMode(func() { s.hang = on }) }

// SetExtraLatency adds d to the latency of each call for objects or the list of VMs.
func (s *Server) SetExtraLatency(d time.Duration) { s.setMode(func() { s.extraLatency = d }) }

// DropWriteResponses drops the responses of the next n writes that take effect.
func (s *Server) DropWriteResponses(n int) { s.setMode(func() { s.dropWriteResponses = n }) }

func (s *Server) setMode(set func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set()
	s.notifyWatchers()
}

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Calls = maps.Clone(s.stats.Calls)
	return out
}

// mode is the body of POST /test/mode.
type mode struct {
	Outage             bool  `json:"outage"`
	Hang               bool  `json:"hang"`
	ExtraLatencyMillis int64 `json:"slow_millis"`
	DropWriteResponses int   `json:"lose_answers"`
}

func (s *Server) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("POST /test/mode", func(w http.ResponseWriter, r *http.Request) {
		var m mode
		if !standin.ReadJSON(w, r, &m) {
			return
		}
		s.SetOutage(m.Outage)
		s.SetHang(m.Hang)
		s.SetExtraLatency(time.Duration(m.ExtraLatencyMillis) * time.Millisecond)
		s.DropWriteResponses(m.DropWriteResponses)
		standin.WriteJSON(w, http.StatusOK, m)
	})
	mux.HandleFunc("POST /test/vms", func(w http.ResponseWriter, r *http.Request) {
		var body vmListResponse
		if !standin.ReadJSON(w, r, &body) {
			return
		}
		s.SetVMs(body.VMs)
		standin.WriteJSON(w, http.StatusOK, body)
	})
	mux.HandleFunc("GET /test/stats", func(w http.ResponseWriter, _ *http.Request) {
		standin.WriteJSON(w, http.StatusOK, s.Stats())
	})
}
