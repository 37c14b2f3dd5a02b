package stand

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Engine is a replica of a model service in the stage decode. It reads prompts itself.
type Engine struct {
	ID, Service, Zone string
	Slots             int
	// Events is the number of events of a stream, Gap the time between two of them, First the time to the first one.
	Events     int
	Gap, First time.Duration
	// OnRun is called when the engine begins to run a request.
	OnRun func(e *Engine, version, id, after string)
	// Silent returns for how long the engine sends nothing from now on. It may be nil.
	Silent func() time.Duration
	// WorksOn is set if the engine does not drop a request when its channel closes.
	WorksOn bool
	// OnEnd is called when the engine does not work on a request any more. It may be nil.
	OnEnd func(e *Engine, id string)

	Addr  string
	store *Store

	mu      sync.Mutex
	version string
	seq     int
	born    int64
	ln      net.Listener
	conns   map[net.Conn]struct{}
	running int
}

// Start registers the engine with a software version and serves. A later call starts it again under the id and the address
// that it had; it is registered before it serves.
func (e *Engine) Start(s *Store, version string) error {
	e.mu.Lock()
	e.store, e.version, e.seq, e.born = s, version, 0, time.Now().UnixMilli()
	again := e.Addr != ""
	e.conns = map[net.Conn]struct{}{}
	e.running = 0
	e.mu.Unlock()
	addr := "127.0.0.1:0"
	if again {
		if err := e.register(e.born); err != nil {
			return err
		}
		addr = e.Addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.ln, e.Addr = ln, ln.Addr().String()
	e.mu.Unlock()
	if !again {
		if err := e.register(e.born); err != nil {
			return err
		}
	}
	go e.beat(e.born)
	go e.accept(ln, e.born)
	return nil
}

func (e *Engine) register(born int64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.born != born {
		return io.EOF
	}
	e.seq++
	return e.store.Put("servers", e.ID, map[string]any{
		"service": e.Service, "address": e.Addr, "zone": e.Zone, "version": e.version, "slots": e.Slots, "state": "ready", "stage": "decode",
		"coldRemainingMs": 0, "seq": e.seq, "born": e.born, "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}},
	})
}

func (e *Engine) beat(born int64) {
	for range time.Tick(Heartbeat) {
		if e.register(born) != nil {
			return
		}
	}
}

// Crash ends the engine: its channels are reset, its port is closed, and nothing is written to the store.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.born = -1
	_ = e.ln.Close()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

func (e *Engine) accept(ln net.Listener, born int64) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		if e.born != born {
			_ = c.Close()
		} else {
			e.conns[c] = struct{}{}
		}
		e.mu.Unlock()
		go e.serve(c)
	}
}

func (e *Engine) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		e.mu.Lock()
		delete(e.conns, c)
		e.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if !e.answer(c, r) {
			return
		}
	}
}

func (e *Engine) answer(c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Request-Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.ID {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Attempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, e.ID)
		return err == nil
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		_, err := io.WriteString(c, health(e.ID))
		return err == nil
	}
	if r.Header.Get("Stage") != "" {
		_, err := fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Attempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	e.mu.Lock()
	if e.running >= e.Slots {
		e.mu.Unlock()
		_, err := fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nRequest-Attempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
		return err == nil
	}
	e.running++
	running, version := e.running, e.version
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	after := r.Header.Get("Last-Event-Id")
	e.OnRun(e, version, id, after)
	if e.OnEnd != nil {
		defer e.OnEnd(e, id)
	}
	e.awaitVoice()
	if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Signature: %s.%s\r\nInstance-Load: %d,0,%d\r\nContent-Type: text/event-stream\r\nWeight-Versions: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
		id, e.ID, id, running, e.Slots); err != nil {
		return false
	}
	from := 0
	if after != "" {
		n, err := strconv.Atoi(after)
		if err != nil {
			return false
		}
		from = n
	}
	time.Sleep(e.First)
	for n := from + 1; n <= e.Events; n++ {
		e.awaitVoice()
		event := fmt.Sprintf("id: %d\ndata: piece %d of version %s by %s\n\n", n, n, version, e.ID)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil && !e.WorksOn {
			return false
		}
		if n < e.Events {
			time.Sleep(e.Gap)
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// awaitVoice waits while the engine is silent.
func (e *Engine) awaitVoice() {
	if e.Silent != nil {
		time.Sleep(e.Silent())
	}
}
