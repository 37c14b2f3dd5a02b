package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	drainTime   = 2 * time.Second
	freezeTime  = 3 * time.Second
	leaveBefore = 150 * time.Millisecond
	roundTime   = 14 * time.Second
	rounds      = 3
	leaving     = 3
	// serveOn is how long a server that has left serves on.
	serveOn = 10 * time.Second
)

// departures holds when the store has acknowledged that servers are gone, and the requests that reached them later than the drain time.
type departures struct {
	run *run

	mu     sync.Mutex
	goneAt map[string]time.Time
	late   int
}

func (d *departures) leave(s *server) {
	s.leave()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.goneAt[s.id] = time.Now()
	d.run.note("the store has acknowledged that server %s is gone", s.id)
	time.AfterFunc(serveOn, func() {
		d.run.note("server %s has served on for %s and exits", s.id, serveOn)
		s.end()
	})
}

// arrive notes a request that reaches a server.
func (d *departures) arrive(s *server, r *http.Request, _ []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, gone := d.goneAt[s.id]
	if !gone {
		d.run.note("request %s, taken by %s, runs at server %s", r.Header.Get("Request-Attempt-Id"), r.Header.Get("Taken-By"), s.id)
		return
	}
	since := time.Since(at)
	d.run.note("request %s, taken by %s, runs at server %s, which has left %d ms before", r.Header.Get("Request-Attempt-Id"), r.Header.Get("Taken-By"), s.id, since.Milliseconds())
	if since > drainTime && r.Header.Get("Taken-By") != frozenName {
		d.late++
	}
}

// frozenName is the machine that freezes. Its own requests are not counted.
const frozenName = "front-1"

// playFreeze freezes one machine, three times for three seconds. Shortly before it goes on, three servers leave that never report draining.
func playFreeze(r *run) error {
	f, err := newFleet(3)
	if err != nil {
		return err
	}
	r.fleet = f
	f.store.put("config", "main", baseConfig(1, keyGood))
	gone := &departures{run: r, goneAt: map[string]time.Time{}}
	var servers []*server
	for i := range 4 + leaving*rounds {
		s := &server{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: zoneNames[3], slots: 6, work: 20 * time.Millisecond, answer: []byte(strings.Repeat("x", 800)), store: f.store, record: gone.arrive}
		if err := startServer(s); err != nil {
			return err
		}
		servers = append(servers, s)
	}
	if err := f.startAll(); err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, d := range f.daemons[1:] {
		clients.Go(func() { sendSteadily(r, d, stop) })
	}
	time.Sleep(6 * time.Second)
	for i := range rounds {
		if r.trouble {
			f.daemons[0].signal(syscall.SIGSTOP)
			r.note("machine %s freezes", frozenName)
		}
		time.Sleep(freezeTime - leaveBefore)
		for _, s := range servers[leaving*i : leaving*(i+1)] {
			gone.leave(s)
		}
		time.Sleep(leaveBefore)
		if r.trouble {
			f.daemons[0].signal(syscall.SIGCONT)
			r.note("machine %s goes on", frozenName)
		}
		time.Sleep(roundTime - freezeTime)
	}
	close(stop)
	clients.Wait()
	if gone.late > 0 {
		return broken("DRAIN", "%d requests, taken by machines in touch, reached servers later than %s after the store had acknowledged that these are gone", gone.late, drainTime)
	}
	return nil
}

// sendSteadily sends requests, of which half may be repeated, until stop is closed.
func sendSteadily(r *run, d *daemon, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(550 * time.Millisecond):
		}
		method, path := "GET", pathLookup+"x"
		if rand.IntN(2) == 0 {
			method, path = "POST", pathOrder+"x"
		}
		a := callWith(d.front, method, path, keyGood, 1500*time.Millisecond, nil, "Taken-By: "+d.name+"\r\n")
		r.note("request %s, %s %s sent to %s: answered %d, signature %q, error %v", a.id, method, path, d.name, a.status, a.header.Get("Response-Signature"), a.err)
	}
}
