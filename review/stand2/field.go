package main

import (
	"net/http"
	"strings"
	"time"
)

// fieldBytes is the size of the new field.
const fieldBytes = 80 << 10

// playField starts a machine whose settings have a new field, which the system does not know and which is longer than the others.
func playField(r *run) error {
	f, err := newFleet(1)
	if err != nil {
		return err
	}
	r.fleet = f
	f.store.put("config", "main", baseConfig(1, keyGood))
	ran := newRuns(r)
	s := &server{id: "i-app-0", service: "app", zone: zoneNames[0], slots: 6, work: 20 * time.Millisecond, answer: []byte("ok"), store: f.store, record: ran.add}
	if err := startServer(s); err != nil {
		return err
	}
	if r.trouble {
		f.extra["trust.bundle"] = strings.Repeat("Q", fieldBytes)
		r.note("the settings have a new field, trust.bundle, of %d bytes", fieldBytes)
	}
	d := f.daemons[0]
	if err := f.start(d, true); err != nil {
		return err
	}
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end) && d.running() && !d.isReady(); time.Sleep(50 * time.Millisecond) {
		continue
	}
	if !d.running() {
		return broken("Fault", "the program ended by itself at its start, it said: %s", d.tail())
	}
	a := call(d.front, "GET", pathLookup+"x", keyGood, 1500*time.Millisecond, nil)
	r.note("request %s: answered %d, error %v; run by %v", a.id, a.status, a.err, ran.of(a.id))
	if a.status != http.StatusOK {
		return broken("Fault", "no request is served")
	}
	return nil
}
