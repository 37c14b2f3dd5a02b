package placement

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/fault"
)

// pick1 is one call under way.
type pick1 struct {
	name string
	done func(error, time.Duration)
}

// pickerWorld draws calls to a service whose replicas fail at will.
type pickerWorld struct {
	clock  *fakeClock
	snap   *configuration.Snapshot
	picker *Picker
	calls  []pick1
}

func newPickerWorld(replicas, slots int, seed uint64) *pickerWorld {
	w := &pickerWorld{clock: &fakeClock{now: 1}, snap: &configuration.Snapshot{Version: 1}}
	w.snap.Document.Endpoints = map[string]configuration.Endpoint{}
	for i := range replicas {
		w.snap.Document.Endpoints[fmt.Sprintf("s%d", i)] = configuration.Endpoint{Service: "svc", Slots: slots, DataCentre: "dc"}
	}
	w.picker = NewPicker(PickerOptions{
		Configuration: func() *configuration.Snapshot { return w.snap },
		Clock:         w.clock,
		DataCentre:    "dc",
		Seed:          seed,
	})
	return w
}

func (w *pickerWorld) outstanding(name string) int {
	n := 0
	for _, c := range w.calls {
		if c.name == name {
			n++
		}
	}
	return n
}

func (w *pickerWorld) ejected() int {
	n := 0
	for _, r := range w.picker.byName {
		if r.health.ejected {
			n++
		}
	}
	return n
}

// others counts the replicas that are neither ejected nor excluded.
func (w *pickerWorld) others(avoid []string) int {
	n := 0
	for name, r := range w.picker.byName {
		if !r.health.ejected && !r.conf.Leaving && !slices.Contains(avoid, name) {
			n++
		}
	}
	return n
}

func (w *pickerWorld) leaving() int {
	n := 0
	for _, r := range w.picker.byName {
		if r.conf.Leaving {
			n++
		}
	}
	return n
}

func TestPickerKeepsItsFloorAndItsCounts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		replicas, slots := rapid.IntRange(1, 5).Draw(t, "replicas"), rapid.IntRange(1, 3).Draw(t, "slots")
		w := newPickerWorld(replicas, slots, rapid.Uint64().Draw(t, "seed"))
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				var avoid []string
				if rapid.Bool().Draw(t, "avoid") {
					avoid = []string{"s0"}
				}
				name, done, err := w.picker.Pick("svc", avoid)
				if err != nil {
					if kind := fault.KindOf(err); kind != fault.Overloaded && kind != fault.Unavailable {
						t.Fatalf("got %v", err)
					}
					return
				}
				r := w.picker.byName[name]
				if r.conf.Leaving || slices.Contains(avoid, name) || w.outstanding(name) >= slots {
					t.Fatalf("picked %s, which must not be", name)
				}
				if r.health.ejected && w.others(avoid) > 0 {
					t.Fatalf("picked %s, which is ejected, before others", name)
				}
				w.calls = append(w.calls, pick1{name, done})
			},
			"finish": func(t *rapid.T) {
				if len(w.calls) == 0 {
					t.Skip("none")
				}
				i := rapid.IntRange(0, len(w.calls)-1).Draw(t, "call")
				c := w.calls[i]
				w.calls = slices.Delete(w.calls, i, i+1)
				var err error
				if rapid.IntRange(0, 3).Draw(t, "outcome") > 0 {
					err = errors.New("failed")
				}
				c.done(err, time.Millisecond)
				c.done(err, time.Millisecond)
			},
			"drain": func(t *rapid.T) {
				name := fmt.Sprintf("s%d", rapid.IntRange(0, replicas-1).Draw(t, "replica"))
				next := &configuration.Snapshot{Version: w.snap.Version + 1}
				next.Document.Endpoints = maps.Clone(w.snap.Document.Endpoints)
				e := next.Document.Endpoints[name]
				e.Leaving = !e.Leaving
				next.Document.Endpoints[name] = e
				w.snap = next
			},
			"time": func(t *rapid.T) {
				w.clock.now = w.clock.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "millis")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if 2*w.ejected() > replicas+w.leaving() {
					t.Fatalf("%d of %d ejected", w.ejected(), replicas)
				}
				for name, r := range w.picker.byName {
					if r.outstanding != w.outstanding(name) {
						t.Fatalf("%s counts %d calls, has %d", name, r.outstanding, w.outstanding(name))
					}
				}
			},
		})
	})
}

// A slow replica gets fewer calls than a fast one.
func TestPickerPrefersTheFaster(t *testing.T) {
	w := newPickerWorld(2, 0, 7)
	counts := map[string]int{}
	for range 400 {
		name, done, err := w.picker.Pick("svc", nil)
		if err != nil {
			t.Fatal(err)
		}
		counts[name]++
		took := 5 * time.Millisecond
		if name == "s1" {
			took = 50 * time.Millisecond
		}
		done(nil, took)
	}
	if counts["s0"] < 2*counts["s1"] {
		t.Fatalf("got %v", counts)
	}
}
