package sweep

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

const (
	testEndpoints = 2
	testVMs       = 3
	// freedWithin is the promise: the time from a request's loss to its first cancel.
	freedWithin = 2 * time.Second
)

// world is an honest model of engines and VMs around a Machine.
type world struct {
	machine *Machine
	now     clock.Instant
	seq     uint64
	// born is when an engine took a request, lost when its VM stopped serving it.
	born, lost map[Held]clock.Instant
	// over holds what was cancelled, or freed itself, which only ended requests do.
	over map[Held]bool
	up   [testVMs]bool
	life [testVMs]ident.Incarnation
	// noticed says that the members list shows a VM's death or new life.
	noticed  [testVMs]bool
	lookIn   [testEndpoints]int
	loseNext bool
	// mute VMs live and answer nobody: their links to other VMs are silent.
	mute [testVMs]bool
	// cut counts the ticks since the watcher was cut off from all VMs; 0 when it is not.
	cut     int
	healed  clock.Instant
	crossed []*Ask
}

func newWorld() *world {
	w := &world{machine: NewMachine("watcher"), now: 1, born: map[Held]clock.Instant{}, lost: map[Held]clock.Instant{}, over: map[Held]bool{}}
	for i := range testVMs {
		w.up[i], w.life[i] = true, 1
	}
	w.showMembers()
	return w
}

func vmName(i int) string { return fmt.Sprintf("v%d", i) }

func (w *world) showMembers() []Action {
	var ms []membership.Member
	for i := range testVMs {
		m := membership.Member{VM: ident.VM{Name: vmName(i), Incarnation: w.life[i]}, State: membership.Alive}
		if !w.up[i] && w.noticed[i] {
			m.State = membership.Gone
		}
		ms = append(ms, m)
	}
	return w.machine.Step(w.now, MembersInput{Members: ms})
}

func (w *world) index(name string) int { return int(name[1] - '0') }

// live is the truth: the request's VM lives and serves it.
func (w *world) live(h Held) bool {
	i := w.index(h.Request.VM.Name)
	_, lost := w.lost[h]
	return w.up[i] && w.life[i] == h.Request.VM.Incarnation && !lost && !w.over[h]
}

func (w *world) handle(t *rapid.T, actions []Action) {
	for _, a := range actions {
		if a.Cancel != nil {
			w.cancelled(t, a.Cancel)
			continue
		}
		if w.loseNext {
			w.loseNext = false
			w.crossed = append(w.crossed, a.Ask)
			continue
		}
		w.answer(t, a.Ask)
	}
}

func (w *world) cancelled(t *rapid.T, c *Cancel) {
	if w.live(c.Held) {
		t.Fatalf("cancelled %v at %s, which is live (%s)", c.Request, c.Endpoint, c.Cause)
	}
	if w.loseNext {
		w.loseNext = false
		return
	}
	w.over[c.Held] = true // a second cancel of it harms nobody
	delete(w.born, c.Held)
	delete(w.lost, c.Held)
}

func (w *world) answer(t *rapid.T, a *Ask) {
	i := w.index(a.VM.VM.Name)
	if !w.up[i] || w.mute[i] || w.cut > 0 {
		w.handle(t, w.machine.Step(w.now, NoAnswerInput{VM: a.About}))
		return
	}
	var dead []Held
	for _, h := range a.Held {
		if !w.live(h) {
			dead = append(dead, h)
		}
	}
	w.handle(t, w.machine.Step(w.now, AnswerInput{VM: a.About, Asked: a.Held, Dead: dead}))
}

// tick passes 100 ms: late answers arrive, engines are looked at in turn, questions are put.
func (w *world) tick(t *rapid.T) {
	w.now = w.now.Add(TickPeriod)
	late := w.crossed
	w.crossed = nil
	for _, a := range late {
		w.answer(t, a)
	}
	for e := range testEndpoints {
		w.lookIn[e]--
		if w.lookIn[e] <= 0 {
			w.lookIn[e] = int(heldPeriod / TickPeriod)
			w.look(t, fmt.Sprintf("e%d", e))
		}
	}
	w.handle(t, w.machine.Step(w.now, TickInput{}))
	w.passCut()
	if w.cut > 0 {
		return
	}
	for h, since := range w.lost {
		if _, held := w.born[h]; held && w.now.Sub(since) > freedWithin {
			t.Fatalf("%v at %s is still held %v after its loss", h.Request, h.Endpoint, w.now.Sub(since))
		}
	}
}

// passCut heals a cut before isolatedLimit; the promise counts from there.
func (w *world) passCut() {
	if w.cut == 0 {
		return
	}
	w.cut++
	if time.Duration(w.cut)*TickPeriod < isolatedLimit-time.Second {
		return
	}
	w.cut, w.healed = 0, w.now
	for h := range w.lost {
		w.lost[h] = w.now
	}
}

func (w *world) look(t *rapid.T, name string) {
	in := HeldInput{Endpoint: name, Holdings: []endpoint.Allocation{{Attempt: endpoint.Attempt{RequestID: "of-another-system"}, AgeMillis: 9999}}}
	for h, born := range w.born {
		if h.Endpoint == name {
			in.Holdings = append(in.Holdings, endpoint.Allocation{
				Attempt:   endpoint.Attempt{RequestID: h.Request.String()},
				AgeMillis: w.now.Sub(born).Milliseconds(),
				Stage:     "decode",
				Attached:  w.live(h),
			})
		}
	}
	w.handle(t, w.machine.Step(w.now, in))
}

// lose marks all requests that match as lost now.
func (w *world) lose(match func(Held) bool) {
	for h := range w.born {
		if _, already := w.lost[h]; !already && match(h) {
			w.lost[h] = w.now
		}
	}
}

func TestSweepFreesTheDeadAndOnlyThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld()
		vm := func(t *rapid.T) int { return rapid.IntRange(0, testVMs-1).Draw(t, "vm") }
		t.Repeat(map[string]func(*rapid.T){
			"hold": func(t *rapid.T) {
				i := vm(t)
				if !w.up[i] {
					t.Skip("down")
				}
				w.seq++
				id := ident.RequestID{VM: ident.VM{Name: vmName(i), Incarnation: w.life[i]}, Seq: w.seq}
				w.born[Held{Endpoint: fmt.Sprintf("e%d", rapid.IntRange(0, testEndpoints-1).Draw(t, "endpoint")), Request: id}] = w.now
			},
			"end": func(t *rapid.T) {
				n := rapid.Uint64Range(1, max(1, w.seq)).Draw(t, "seq")
				w.lose(func(h Held) bool { return h.Request.Seq == n })
			},
			"freeByItself": func(t *rapid.T) {
				n := rapid.Uint64Range(1, max(1, w.seq)).Draw(t, "seq")
				for h := range w.born {
					if h.Request.Seq == n {
						w.over[h] = true
						delete(w.born, h)
						delete(w.lost, h)
					}
				}
			},
			"cut": func(t *rapid.T) {
				if w.now.Sub(w.healed) < freedWithin {
					t.Skip("two cuts without contact between them are one long cut")
				}
				w.cut = max(w.cut, 1)
			},
			"kill": func(t *rapid.T) {
				i := vm(t)
				for o := range testVMs {
					if o != i && (!w.up[o] || w.mute[o]) {
						t.Skip("the watcher would hear too few")
					}
				}
				w.mute[i] = false
				w.up[i], w.noticed[i] = false, rapid.Bool().Draw(t, "noticed")
				w.lose(func(h Held) bool { return h.Request.VM.Name == vmName(i) })
				w.handle(t, w.showMembers())
			},
			"restart": func(t *rapid.T) {
				i := vm(t)
				w.life[i]++
				w.up[i], w.mute[i] = true, false
				w.lose(func(h Held) bool { return h.Request.VM.Name == vmName(i) })
				w.handle(t, w.showMembers())
			},
			"mute": func(t *rapid.T) {
				i := vm(t)
				for o := range testVMs {
					if o != i && (!w.up[o] || w.mute[o]) {
						t.Skip("the watcher would hear too few")
					}
				}
				w.mute[i] = w.up[i]
			},
			"unmute":      func(t *rapid.T) { w.mute[vm(t)] = false },
			"loseMessage": func(*rapid.T) { w.loseNext = true },
			"time": func(t *rapid.T) {
				for range rapid.IntRange(1, 25).Draw(t, "ticks") {
					w.tick(t)
				}
			},
		})
		w.mute = [testVMs]bool{}
		for range int((isolatedLimit + 2*freedWithin) / TickPeriod) {
			w.tick(t)
		}
	})
}

// TestSilenceAloneEndsNoLiveWork: a VM that answers nobody, while others are heard, goes on with
// what its engines still have a connection for; what has none is freed, and a prompt that is kept
// lapses by itself.
func TestSilenceAloneEndsNoLiveWork(t *testing.T) {
	vm := ident.VM{Name: vmName(0), Incarnation: 1}
	id := func(n uint64) string { return ident.RequestID{VM: vm, Seq: n}.String() }
	in := HeldInput{Endpoint: "e0", Holdings: []endpoint.Allocation{
		{Attempt: endpoint.Attempt{RequestID: id(1)}, Stage: "decode", AgeMillis: 500, Attached: true},
		{Attempt: endpoint.Attempt{RequestID: id(2)}, Stage: "decode", AgeMillis: 500},
		{Attempt: endpoint.Attempt{RequestID: id(3)}, Stage: endpoint.StageKept, AgeMillis: 500},
	}}
	w := newWorld()
	cancelled := map[uint64]string{}
	step := func(in Input) {
		for _, a := range w.machine.Step(w.now, in) {
			switch {
			case a.Cancel != nil:
				cancelled[a.Cancel.Request.Seq] = a.Cancel.Cause
			case a.Ask.VM.VM.Name == vmName(0):
				w.machine.Step(w.now, NoAnswerInput{VM: a.Ask.About})
			default:
				w.machine.Step(w.now, AnswerInput{VM: a.Ask.About, Asked: a.Ask.Held})
			}
		}
	}
	for range int(3 * isolatedLimit / TickPeriod) {
		w.now = w.now.Add(TickPeriod)
		step(in)
		step(TickInput{})
	}
	if len(cancelled) != 1 || cancelled[2] != CauseSilent {
		t.Errorf("cancelled %v", cancelled)
	}
	in.Holdings[0].Attached = false
	step(in)
	if cancelled[1] != CauseSilent {
		t.Errorf("after its connection broke: cancelled %v", cancelled)
	}
}
