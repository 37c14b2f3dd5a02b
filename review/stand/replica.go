package stand

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Hex returns n random bytes as a hexadecimal number.
func Hex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// Plain is a replica of a plain service.
type Plain struct {
	ID, Service, Zone string
	Slots             int
	Work              time.Duration
	// OnRun is called when the replica begins to run a request.
	OnRun func(p *Plain, id, what string)
	// Extra returns the bytes that follow the complete answer to a request, sent where the next answer of the channel is
	// expected. It may be nil.
	Extra func(answers int) string

	Addr  string
	store *Store
	ln    net.Listener
	slots chan struct{}

	mu      sync.Mutex
	seq     int
	born    int64
	answers int
	conns   map[net.Conn]struct{}
	closed  bool
}

// Heartbeat is the time between two writes of a replica's entry.
const Heartbeat = 1200 * time.Millisecond

// Start opens a port, registers the replica and serves.
func (p *Plain) Start(s *Store) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	p.ln, p.Addr, p.store, p.slots = ln, ln.Addr().String(), s, make(chan struct{}, p.Slots)
	p.born, p.conns = time.Now().UnixMilli(), map[net.Conn]struct{}{}
	if err := p.register(); err != nil {
		return err
	}
	go p.beat()
	go p.accept()
	return nil
}

func (p *Plain) register() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	p.seq++
	return p.store.Put("servers", p.ID, map[string]any{
		"service": p.Service, "address": p.Addr, "zone": p.Zone, "version": "v1", "slots": p.Slots, "state": "ready",
		"coldRemainingMs": 0, "seq": p.seq, "born": p.born,
	})
}

func (p *Plain) beat() {
	for range time.Tick(Heartbeat) {
		if p.register() != nil || p.isClosed() {
			return
		}
	}
}

func (p *Plain) isClosed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed
}

// Close ends the replica.
func (p *Plain) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	_ = p.ln.Close()
	for c := range p.conns {
		_ = c.Close()
	}
}

func (p *Plain) accept() {
	for {
		c, err := p.ln.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.conns[c] = struct{}{}
		p.mu.Unlock()
		go p.serve(c)
	}
}

// serve answers the requests of a channel, one at a time.
func (p *Plain) serve(c net.Conn) {
	defer func() {
		_ = c.Close()
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	extra := ""
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if extra != "" {
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		answer, complete := p.run(r)
		if _, err := io.WriteString(c, answer); err != nil {
			return
		}
		if complete && p.Extra != nil {
			p.mu.Lock()
			p.answers++
			extra = p.Extra(p.answers)
			p.mu.Unlock()
		}
	}
}

// run runs a request and returns the answer. complete is set if it was run.
func (p *Plain) run(r *http.Request) (answer string, complete bool) {
	id := r.Header.Get("Request-Attempt-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != p.ID {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nRequest-Attempt-Id: %s\r\nInstance-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id, p.ID), false
	}
	if r.Method == http.MethodGet && r.URL.Path == healthPath {
		return health(p.ID), false
	}
	select {
	case p.slots <- struct{}{}:
	default:
		return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Attempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id), false
	}
	p.OnRun(p, id, fmt.Sprintf("%s %s, tenant %q", r.Method, r.RequestURI, r.Header.Get("Tenant")))
	time.Sleep(p.Work)
	running := len(p.slots)
	<-p.slots
	body := PlainBody(p.ID, id)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Attempt-Id: %s\r\nResponse-Signature: %s\r\nInstance-Load: %d,0,%d\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		id, PlainSignature(p.ID, id), running, p.Slots, len(body), body), true
}

// PlainBody is the body of a replica's answer to a request, PlainSignature its signature.
func PlainBody(replica, id string) string { return "confirmed " + id + " at " + replica + "\n" }

// PlainSignature is the signature of a replica's answer to a request.
func PlainSignature(replica, id string) string { return replica + "." + id }

// healthPath is the path of the liveness check, health its answer.
const healthPath = "/healthz"

func health(id string) string {
	return "HTTP/1.1 200 OK\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n"
}
