package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	pathStream  = "/stream/"
	streamCount = 24
	// mixedAllowed is how many streams may hold events of two versions.
	mixedAllowed = 2
	// registerLate is how long after the store's return an engine registers again: "within about two seconds".
	registerLate   = 1900 * time.Millisecond
	streamDeadline = 14 * time.Second
	// clientRetries is how often a client tries again: "Clients retry a few times within their deadline".
	clientRetries = 3
)

// streamConfig returns a configuration with a route whose streams may be resumed.
func streamConfig() map[string]any {
	c := baseConfig(1, keyGood)
	c["routes"] = []any{map[string]any{
		"name": "stream", "host": host, "pathPrefix": pathStream, "kind": "streaming", "timeoutMs": 14000, "targetLatencyMs": 900, "priority": 1,
		"service": "llm", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "gapAimMs": 300,
	}}
	c["services"] = []any{map[string]any{
		"name": "llm", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false,
		"engine": map[string]any{"slots": 64, "kvCapacity": 400000, "kvTokenBytes": 35136, "linkMbps": 330000.0, "handleTtlS": 0.5, "stageSwitchS": 6.0, "models": []any{map[string]any{"name": "m"}}},
	}}
	return c
}

// clientStream is a stream as its client sees it, over all its attempts.
type clientStream struct {
	first    string
	last     string
	versions []string
	ended    bool
}

// attempt sends one attempt and reads events until the channel ends or the deadline is over. It returns how
// long the answer asks the client to wait.
func (s *clientStream) attempt(r *run, d *daemon, end time.Time) (wait time.Duration) {
	id := newAttempt()
	nc, err := dialPatiently(d.front)
	if err != nil {
		r.note("attempt %s at %s: no channel: %v", id, d.name, err)
		return 0
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(end)
	head := fmt.Sprintf("POST %sx HTTP/1.1\r\nHost: %s\r\nRequest-Attempt-Id: %s\r\nModel: m\r\nToken-Usage: 500,40\r\nPrompt-Prefix: %s:100,%s:400\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\nContent-Length: 2\r\n",
		pathStream, host, id, id[:8], id[8:], time.Until(end).Milliseconds(), keyGood)
	if s.last != "" {
		head += "Last-Event-Id: " + s.last + "\r\nResumes: " + s.first + "\r\n"
	}
	if _, err := nc.Write([]byte(head + "\r\nhi")); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(nc), &http.Request{Method: http.MethodPost})
	if err != nil || resp.StatusCode != http.StatusOK {
		status := 0
		if resp != nil {
			status = resp.StatusCode
			seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			wait = min(time.Duration(seconds*float64(time.Second)), time.Until(end)/3)
		}
		r.note("attempt %s at %s, resumes %q after %q: answered %d, %v, to wait %s", id, d.name, s.first, s.last, status, err, wait)
		return wait
	}
	events := 0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if n, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			s.last = n
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if events++; s.first == "" {
				s.first = id
			}
			if len(s.versions) == 0 || s.versions[len(s.versions)-1] != version {
				s.versions = append(s.versions, version)
			}
		}
	}
	s.ended = lines.Err() == nil && s.last == fmt.Sprint(streamEvents)
	r.note("attempt %s at %s, resumes %q: %d events, last %s, versions so far %v, complete %t", id, d.name, s.first, events, s.last, s.versions, s.ended)
	return 0
}

// dialPatiently opens a channel, for which clients allow one second: a channel to a machine that does not listen yet is tried again meanwhile.
func dialPatiently(address string) (net.Conn, error) {
	for end := time.Now().Add(dialTime); ; time.Sleep(50 * time.Millisecond) {
		nc, err := net.DialTimeout("tcp", address, time.Until(end))
		if err == nil || time.Until(end) < 100*time.Millisecond {
			return nc, err
		}
	}
}

// playOrder plays a store that is away. Meanwhile a replica starts again under its id with another version. All machines are killed as the store
// returns, and start again before that replica has registered.
func playOrder(r *run) error {
	f, err := newFleet(2)
	if err != nil {
		return err
	}
	r.fleet = f
	f.store.put("config", "main", streamConfig())
	var engines []*engine
	for i := range 2 {
		e, err := startEngine(r, f.store, fmt.Sprintf("i-llm-%d", i), zoneNames[i], "v1")
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	if err := f.startAll(); err != nil {
		return err
	}
	time.Sleep(4 * time.Second) // the versions of services are stored
	if r.trouble {
		f.store.setDown(true)
		r.note("the store answers 503")
	}
	time.Sleep(1500 * time.Millisecond)
	if err := engines[1].restart("v2"); err != nil {
		return err
	}
	if !r.trouble {
		engines[1].setLate(false)
	}
	time.Sleep(500 * time.Millisecond)
	streams := make([]clientStream, streamCount)
	var clients sync.WaitGroup
	for i := range streams {
		clients.Go(func() {
			s, end := &streams[i], time.Now().Add(streamDeadline)
			for n := 0; n <= clientRetries && time.Now().Before(end) && !s.ended; n++ {
				time.Sleep(s.attempt(r, f.daemons[(i+n)%2], end))
			}
		})
	}
	time.Sleep(2200 * time.Millisecond)
	for _, d := range f.daemons {
		d.signal(syscall.SIGKILL)
	}
	r.note("all machines are killed, the store is back")
	f.store.setDown(false)
	back := time.Now()
	time.Sleep(300 * time.Millisecond)
	for _, d := range f.daemons {
		if err := f.start(d, false); err != nil {
			return err
		}
	}
	time.Sleep(time.Until(back.Add(registerLate)))
	engines[1].setLate(false)
	r.note("engine %s has registered", engines[1].id)
	clients.Wait()
	mixed := 0
	for i := range streams {
		if len(streams[i].versions) > 1 {
			mixed++
			r.note("stream of %s holds events of versions %v", streams[i].first, streams[i].versions)
		}
	}
	r.note("%d of %d streams hold events of two versions", mixed, streamCount)
	if mixed > mixedAllowed {
		return broken("ORDER", "%d of %d streams hold events of two software versions, %d may", mixed, streamCount, mixedAllowed)
	}
	return nil
}
