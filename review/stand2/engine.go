package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// streamEvents is the number of events of a stream, eventGap the time between two of them.
	streamEvents = 40
	eventGap     = 200 * time.Millisecond
	firstEvent   = 100 * time.Millisecond
)

// engine is a stand-in of a model replica that decodes, and reads prompts itself.
type engine struct {
	id, zone string
	store    *store
	run      *run
	address  string

	mu      sync.Mutex
	version string
	born    int64
	running int
	seq     int
	http    *http.Server
	// late is set while the engine has started again and has not registered.
	late bool
}

// startEngine starts an engine of a software version and registers it.
func startEngine(r *run, s *store, id, zone, version string) (*engine, error) {
	e := &engine{id: id, zone: zone, store: s, run: r, address: loopback(120) + ":0"}
	if err := e.start(version); err != nil {
		return nil, err
	}
	e.beat()
	go func() {
		for range time.Tick(heartbeat) {
			e.beat()
		}
	}()
	return e, nil
}

// start starts a lifetime of the engine at its address.
func (e *engine) start(version string) error {
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.version, e.born, e.seq = ln.Addr().String(), version, time.Now().UnixMilli(), 0
	life := &lifetime{engine: e, version: version, born: e.born}
	e.http = &http.Server{Handler: life, ReadHeaderTimeout: time.Minute, IdleTimeout: 20 * time.Second}
	server := e.http
	go func() { _ = server.Serve(ln) }()
	e.run.note("engine %s starts with version %s, born %d", e.id, version, e.born)
	return nil
}

// restart ends the engine and starts it again under its id with another version. It registers when setLate(false) is called.
func (e *engine) restart(version string) error {
	e.setLate(true)
	e.mu.Lock()
	server := e.http
	e.mu.Unlock()
	_ = server.Close()
	return e.start(version)
}

func (e *engine) setLate(late bool) {
	e.mu.Lock()
	e.late = late
	e.mu.Unlock()
	e.beat()
}

// beat writes the engine's entry, unless the store does not take it.
func (e *engine) beat() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": "llm", "address": e.address, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready", "coldRemainingMs": 0, "stage": "decode",
		"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": e.seq, "born": e.born,
	}
	late := e.late
	e.mu.Unlock()
	if !late && !e.store.down.Load() {
		e.store.beat(e.id, entry)
	}
}

// lifetime is one process of an engine.
type lifetime struct {
	engine  *engine
	version string
	born    int64
}

// ServeHTTP serves reports and streams.
func (l *lifetime) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h, e := w.Header(), l.engine
	if id := r.Header.Get("Request-Attempt-Id"); id != "" {
		h.Set("Request-Attempt-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		h.Set("Instance-Id", e.id)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	running := e.running
	e.mu.Unlock()
	h.Set("Instance-Load", fmt.Sprintf("%d,0,64", running))
	if r.URL.Path == "/v1/report" {
		raw, _ := json.Marshal(map[string]any{
			"stage": "decode", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": 0, "queued": 0,
			"running": running, "kvUsed": 1000 * running, "kvTotal": 400000, "handles": 0, "born": l.born,
		})
		h.Set("Content-Type", "application/json")
		_, _ = w.Write(raw)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	l.stream(w, r)
}

// stream sends the events after the one that the request names.
func (l *lifetime) stream(w http.ResponseWriter, r *http.Request) {
	e, id := l.engine, r.Header.Get("Request-Attempt-Id")
	e.mu.Lock()
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.run.note("engine %s, version %s, runs %s after event %d", e.id, l.version, id, last)
	h := w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Response-Signature", e.id+"."+l.version+"."+id)
	h.Set("Weight-Versions", "1")
	time.Sleep(firstEvent)
	for n := last + 1; n <= streamEvents; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, l.version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(eventGap):
		}
	}
}
