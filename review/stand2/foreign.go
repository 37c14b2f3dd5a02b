package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// foreignRounds is how often the other writer writes, foreignPause the time between.
	foreignRounds = 3
	foreignPause  = 4 * time.Second
)

// playForeign lets another writer write entries under the ids of two replicas of a second service. In one of them a field is missing, in the other
// one it is of another type. Each replica writes its own entry again with its next check-in.
func playForeign(r *run) error {
	f, err := newFleet(2)
	if err != nil {
		return err
	}
	r.fleet = f
	f.store.put("config", "main", baseConfig(1, keyGood))
	ran := newRuns(r)
	var others []*server
	for i := range 4 {
		service := []string{"app", "other"}[i/2]
		s := &server{
			id: fmt.Sprintf("i-%s-%d", service, i), service: service, zone: zoneNames[2], slots: 6, work: 20 * time.Millisecond,
			answer: []byte(strings.Repeat("x", 800)), store: f.store, record: ran.add,
		}
		if err := startServer(s); err != nil {
			return err
		}
		if service == "other" {
			others = append(others, s)
		}
	}
	if err := f.startAll(); err != nil {
		return err
	}
	var tally foreignTally
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for _, d := range f.daemons {
		for range 3 {
			clients.Go(func() { tally.send(r, d, ran, stop) })
		}
	}
	for range foreignRounds {
		if r.trouble {
			missing, text := others[0].entry(), others[1].entry()
			missing["service"], text["service"] = "app", "app"
			delete(missing, "coldRemainingMs")
			text["coldRemainingMs"] = "none"
			f.store.put("servers", others[0].id, missing)
			f.store.put("servers", others[1].id, text)
			r.note("another writer writes %s without coldRemainingMs, and %s with a text in it; both name service app", others[0].id, others[1].id)
		}
		time.Sleep(foreignPause)
	}
	close(stop)
	clients.Wait()
	if n := tally.foreign.Load(); n > 0 {
		return broken("ROUTE", "%d of %d requests were run by a service to which no configuration sends them", n, tally.sent.Load())
	}
	return nil
}

// foreignTally counts requests, and those that a server of the service other has run.
type foreignTally struct{ sent, foreign atomic.Int64 }

// send sends requests until stop is closed, of which every second one may run once only.
func (t *foreignTally) send(r *run, d *daemon, ran *runs, stop <-chan struct{}) {
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		method, path := "GET", pathLookup+"x"
		if n%2 == 1 {
			method, path = "POST", pathOrder+"x"
		}
		t.sent.Add(1)
		a := call(d.front, method, path, keyGood, 1500*time.Millisecond, nil)
		by := ran.of(a.id)
		r.note("request %s: %s %s sent to %s; answered %d, signature %q, error %v; run by %v", a.id, method, path, d.name, a.status,
			a.header.Get("Response-Signature"), a.err, by)
		for _, id := range by {
			if strings.HasPrefix(id, "i-other") {
				t.foreign.Add(1)
				r.note("broken: no configuration sends request %s to service other", a.id)
			}
		}
	}
}
