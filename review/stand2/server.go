package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in of a replica of a plain service.
type server struct {
	id, service, zone string
	born              int64
	slots             int
	work              time.Duration
	// answer is the body of each answer, record notes each request that begins to run.
	answer  []byte
	record  func(server *server, r *http.Request, body []byte)
	store   *store
	ln      net.Listener
	running atomic.Int64
	seq     atomic.Int64

	http  *http.Server
	mu    sync.Mutex
	state string
	// leaving is set once the replica leaves: then all its answers say so.
	leaving bool
	stop    chan struct{}
}

const heartbeat = 1200 * time.Millisecond

// startServer starts a replica and registers it.
func startServer(s *server) error {
	ln, err := net.Listen("tcp", loopback(100)+":0")
	if err != nil {
		return err
	}
	s.ln, s.born, s.state, s.stop = ln, time.Now().UnixMilli(), "ready", make(chan struct{})
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: time.Minute, IdleTimeout: 20 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	s.beat()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-s.stop:
				return
			case <-t.C:
				s.beat()
			}
		}
	}()
	return nil
}

// entry returns what a replica writes about itself.
func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": s.service, "address": s.ln.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": s.state, "coldRemainingMs": 0, "seq": s.seq.Add(1), "born": s.born,
	}
}

func (s *server) beat() { s.store.beat(s.id, s.entry()) }

// ServeHTTP serves health checks, reports and requests.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", min(s.running.Load(), int64(s.slots)), s.slots))
	s.mu.Lock()
	if s.leaving {
		h.Set("Server-Leaving", "1")
	}
	s.mu.Unlock()
	if id := r.Header.Get("Request-Attempt-Id"); id != "" {
		h.Set("Request-Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != s.id {
		h.Set("Instance-Id", s.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		h.Set("Instance-Id", s.id)
		return
	case "/v1/report":
		raw, _ := json.Marshal(map[string]any{"busy": false, "seq": 0, "queued": 0, "running": s.running.Load(), "born": s.born})
		h.Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if s.running.Add(1) > int64(s.slots) {
		s.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	if s.record != nil {
		s.record(s, r, body)
	}
	time.Sleep(s.work)
	h.Set("Response-Signature", s.id+"."+r.Header.Get("Request-Attempt-Id"))
	h.Set("Content-Length", fmt.Sprint(len(s.answer)))
	_, _ = w.Write(s.answer)
}

// end ends the server's process: its channels end with it.
func (s *server) end() { _ = s.http.Close() }

// leave makes the server leave without having reported draining: its entry is removed, and it serves on until end is called.
func (s *server) leave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	close(s.stop)
	s.store.remove("servers", s.id)
}
