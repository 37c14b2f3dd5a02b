package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

// Times of the case "settings".
const (
	overlap     = 10 * time.Second
	afterMove   = 4 * time.Second
	configApply = 2 * time.Second
	maxSkew     = 5 * time.Second
	checkTime   = 12 * time.Second
)

// alsoAt makes the store answer at a second address as well, and returns how to end the first one.
func (s *store) alsoAt(address string) (endFirst func(), err error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	first := s.listener
	s.listener = ln
	go func() { _ = (&http.Server{Handler: s, ReadHeaderTimeout: time.Minute}).Serve(ln) }()
	return func() {
		_ = first.Close()
		s.closed.Store(true)
	}, nil
}

// playSettings changes the store's address in the settings files. The store answers at both addresses for ten seconds, then only at the new
// one. Then a configuration withdraws a key. Without the disruption the change is announced by SIGHUP.
func playSettings(r *run) error {
	f, err := newFleet(2)
	if err != nil {
		return err
	}
	r.fleet = f
	f.store.put("config", "main", baseConfig(1, keyGood, keyOld))
	ran := newRuns(r)
	for i := range 2 {
		s := &server{id: fmt.Sprintf("i-app-%d", i), service: "app", zone: zoneNames[i], slots: 6, work: 20 * time.Millisecond, answer: []byte(strings.Repeat("x", 800)), store: f.store, record: ran.add}
		if err := startServer(s); err != nil {
			return err
		}
	}
	if err := f.startAll(); err != nil {
		return err
	}
	for _, key := range []string{keyGood, keyOld} {
		for _, d := range f.daemons {
			if a := call(d.front, "GET", pathLookup+"x", key, 1500*time.Millisecond, nil); a.status != http.StatusOK {
				return fmt.Errorf("%s answers %d, %w, to a request with key %s", d.name, a.status, a.err, key)
			}
		}
	}
	endFirst, err := f.store.alsoAt(loopback(2) + ":0")
	if err != nil {
		return err
	}
	for _, d := range f.daemons {
		if err := f.writeSettings(d, false); err != nil {
			return err
		}
		if !r.trouble {
			d.signal(syscall.SIGHUP)
		}
	}
	r.note("the settings files name the store's new address %s, SIGHUP sent: %t", f.store.address(), !r.trouble)
	time.Sleep(overlap)
	endFirst()
	r.note("the store answers at its new address only")
	time.Sleep(afterMove)
	f.store.put("config", "main", baseConfig(2, keyGood))
	acked := time.Now()
	r.note("configuration 2 acknowledged: key %s is withdrawn", keyOld)
	time.Sleep(configApply + maxSkew + time.Second)
	late := 0
	for end := time.Now().Add(checkTime); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		for _, d := range f.daemons {
			a := call(d.front, "GET", pathLookup+"x", keyOld, 1500*time.Millisecond, nil)
			by := ran.of(a.id)
			r.note("request %s with the withdrawn key, sent to %s %.1f s after the acknowledgement: status %d, error %v, run by %v", a.id, d.name,
				time.Since(acked).Seconds(), a.status, a.err, by)
			if len(by) > 0 {
				late++
			}
		}
	}
	if late > 0 {
		return broken("CONFIG", "%d requests ran with a key that a configuration had withdrawn over %s before", late, configApply+maxSkew)
	}
	return nil
}
