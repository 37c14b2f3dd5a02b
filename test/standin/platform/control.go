package platform

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/test/standin"
)

// SetVMs changes the list of VMs; readers see it after the list's lag.
func (s *Server) SetVMs(vms []objectstore.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists = append(s.lists, vmList{since: time.Now(), vms: slices.Clone(vms)})
}

// Seed writes an object, whatever its version.
func (s *Server) Seed(name string, value []byte) uint64 {
	s.mu.Lock()
	version := s.objects[name].Version
	s.mu.Unlock()
	version, _, _ = s.write(name, value, version)
	return version
}

// Object gives an object as it is, without a call.
func (s *Server) Object(name string) (objectstore.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[name]
	return o, ok
}

// Outage refuses all calls while on.
func (s *Server) Outage(on bool) { s.setMode(func() { s.outage = on }) }

// Hang leaves all calls without an answer while on.
func (s *Server) Hang(on bool) { s.setMode(func() { s.hang = on }) }

// Slow adds d to each call.
func (s *Server) Slow(d time.Duration) { s.setMode(func() { s.slow = d }) }

// LoseAnswers drops the answers of the next n writes that take effect.
func (s *Server) LoseAnswers(n int) { s.setMode(func() { s.loseAnswers = n }) }

func (s *Server) setMode(set func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	set()
	s.wake()
}

// Stats gives the counts so far.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.stats
	out.Calls = maps.Clone(s.stats.Calls)
	return out
}

// mode is the body of POST /test/mode.
type mode struct {
	Outage      bool  `json:"outage"`
	Hang        bool  `json:"hang"`
	SlowMillis  int64 `json:"slow_millis"`
	LoseAnswers int   `json:"lose_answers"`
}

func (s *Server) control(mux *http.ServeMux) {
	mux.HandleFunc("POST /test/mode", func(w http.ResponseWriter, r *http.Request) {
		var m mode
		if !standin.ReadJSON(w, r, &m) {
			return
		}
		s.Outage(m.Outage)
		s.Hang(m.Hang)
		s.Slow(time.Duration(m.SlowMillis) * time.Millisecond)
		s.LoseAnswers(m.LoseAnswers)
		standin.WriteJSON(w, http.StatusOK, m)
	})
	mux.HandleFunc("POST /test/vms", func(w http.ResponseWriter, r *http.Request) {
		var body vmsAnswer
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
