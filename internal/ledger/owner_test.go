package ledger

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

var errLost = fault.New(fault.Timeout, "none", "answer lost", fault.WithExecution(fault.ExecutionUnknown))

// objects is the platform's side of the model.
type objects map[string]objectstore.Object

func (s objects) put(name string, value []byte, ifVersion uint64) (uint64, error) {
	if s[name].Version != ifVersion {
		return 0, fault.New(fault.Conflict, "none", "version differs")
	}
	s[name] = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	return ifVersion + 1, nil
}

func (s objects) get(name string) (objectstore.Object, error) {
	if o, ok := s[name]; ok {
		return o, nil
	}
	return objectstore.Object{}, fault.New(fault.NotFound, "none", "no such object")
}

// attempt is one caller's try at a commit.
type attempt struct {
	key     string
	nonce   string
	state   string // begun, ran, finished, refused, gone, ran and gone
	outcome Outcome
	// finishing: an outcome was sent to an owner.
	finishing bool
}

type call struct {
	owner int
	life  int
	act   action
}

// world runs two owners that both believe they own every shard.
type world struct {
	t       *rapid.T
	now     clock.Instant
	wall    time.Time
	skew    [2]time.Duration
	store   objects
	owners  [2]*owner
	life    [2]int
	calls   []call
	late    []writePage
	ops     map[uint64]*operation
	opOwner map[uint64]int
	tries   []*attempt
	keys    []string
	nextOp  uint64
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: 1, wall: time.UnixMilli(1 << 41), store: objects{}, ops: map[uint64]*operation{}, opOwner: map[uint64]int{}}
	w.owners = [2]*owner{newOwner(), newOwner()}
	return w
}

func (w *world) step(i int, in input) {
	for _, a := range w.owners[i].Step(w.now, in) {
		if ans, ok := a.(answer); ok {
			w.answered(ans)
			continue
		}
		w.calls = append(w.calls, call{i, w.life[i], a})
	}
}

func (w *world) submit(i int, kind operationKind, a *attempt, wait time.Duration) {
	at, err := locate("w", a.key)
	if err != nil {
		w.t.Fatal(err)
	}
	w.nextOp++
	op := &operation{
		id: w.nextOp, kind: kind, place: at, fingerprint: 1, nonce: a.nonce, outcome: a.outcome,
		wall: w.wall.Add(w.skew[i]), deadline: w.now.Add(wait),
	}
	w.ops[op.id] = op
	w.opOwner[op.id] = i
	w.step(i, submit{op})
}

func (w *world) try(nonce string) *attempt {
	return w.tries[slices.IndexFunc(w.tries, func(a *attempt) bool { return a.nonce == nonce })]
}

// answered takes an answer as the caller's VM does, and checks the ledger's promise.
func (w *world) answered(ans answer) {
	op := w.ops[ans.id]
	if op == nil {
		w.t.Fatalf("operation %d answered twice", ans.id)
	}
	delete(w.ops, ans.id)
	a := w.try(op.nonce)
	switch {
	case op.kind == opFinish && a.state == "ran" && fault.Is(ans.result.err, fault.Conflict):
		w.t.Fatalf("the outcome of %s was refused: %v", a.nonce, ans.result.err)
	case op.kind == opFinish && ans.result.err == nil && a.state == "ran":
		a.state = "finished"
	case op.kind != opBegin || a.state != "begun":
	case ans.result.outcome != nil:
		w.checkOutcome(a, *ans.result.outcome)
		a.state = "refused"
	case ans.result.err != nil:
		a.state = "refused"
	default:
		a.state = "ran"
		w.checkOneRun(a.key)
	}
}

func (w *world) runs(key string) []*attempt {
	var out []*attempt
	for _, a := range w.tries {
		if a.key == key && a.outcome.Status != 0 && (a.state == "ran" || a.state == "finished" || a.state == "ran and gone") {
			out = append(out, a)
		}
	}
	return out
}

func (w *world) checkOneRun(key string) {
	if runs := w.runs(key); len(runs) > 1 {
		w.t.Fatalf("key %s was let run as %s and as %s", key, runs[0].nonce, runs[1].nonce)
	}
}

func (w *world) checkOutcome(a *attempt, got Outcome) {
	runs := w.runs(a.key)
	if len(runs) != 1 || got.Status != runs[0].outcome.Status {
		w.t.Fatalf("key %s: repeat got %+v, runs %+v", a.key, got, runs)
	}
}

func (w *world) pick(states ...string) *attempt {
	var out []*attempt
	for _, a := range w.tries {
		if slices.Contains(states, a.state) {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		w.t.Skip("no such attempt")
	}
	return rapid.SampledFrom(out).Draw(w.t, "attempt")
}

func (w *world) owner() int { return rapid.IntRange(0, 1).Draw(w.t, "owner") }

func (w *world) wait() time.Duration {
	return time.Duration(rapid.IntRange(100, 20000).Draw(w.t, "wait")) * time.Millisecond
}

const maxKeys = 3

func (w *world) newKey() {
	if len(w.keys) >= maxKeys {
		w.t.Skip("enough keys")
	}
	skew := time.Duration(rapid.Int64Range(-int64(2*SkewMargin), int64(2*SkewMargin)).Draw(w.t, "skew"))
	w.keys = append(w.keys, newKey(w.wall.Add(skew), uint64(len(w.keys))))
}

func (w *world) begin() {
	if len(w.keys) == 0 {
		w.newKey()
	}
	key := rapid.SampledFrom(w.keys).Draw(w.t, "key")
	n := len(w.tries) + 1
	a := &attempt{key: key, nonce: fmt.Sprint("n", n), state: "begun", outcome: Outcome{Status: 1000 + n}}
	w.tries = append(w.tries, a)
	w.submit(w.owner(), opBegin, a, w.wait())
}

func (w *world) beginAgain() { w.submit(w.owner(), opBegin, w.pick("begun"), w.wait()) }

func (w *world) finish() {
	a := w.pick("ran", "finished")
	a.finishing = true
	w.submit(w.owner(), opFinish, a, w.wait())
}

// giveUp ends an attempt that surely never ran, or one that was let run and not yet given away.
func (w *world) giveUp() {
	a := w.pick("begun", "ran", "refused", "gone")
	if a.finishing {
		w.t.Skip("its outcome is on the way")
	}
	a.state = "gone"
	w.submit(w.owner(), opAbandon, a, w.wait())
}

func (w *world) callerDies() {
	a := w.pick("begun", "ran")
	if a.state == "ran" {
		a.state = "ran and gone"
		return
	}
	a.state = "gone"
}

func (w *world) takeCall() call {
	if len(w.calls) == 0 {
		w.t.Skip("no call")
	}
	i := rapid.IntRange(0, len(w.calls)-1).Draw(w.t, "call")
	c := w.calls[i]
	w.calls = slices.Delete(w.calls, i, i+1)
	return c
}

func (w *world) serve(c call, end string) {
	switch act := c.act.(type) {
	case readPage:
		object, err := w.store.get(objectName(act.shard, act.window))
		if end != "ok" {
			object, err = objectstore.Object{}, errLost
		}
		w.reply(c, readDone{act.shard, act.window, object, err})
	case writePage:
		var version uint64
		err := errLost
		switch end {
		case "ok":
			version, err = w.store.put(objectName(act.shard, act.window), act.value, act.version)
		case "answer lost":
			_, _ = w.store.put(objectName(act.shard, act.window), act.value, act.version)
		case "late":
			w.late = append(w.late, act)
		}
		w.reply(c, writeDone{act.shard, act.window, version, err})
	}
}

func (w *world) reply(c call, in input) {
	if c.life == w.life[c.owner] {
		w.step(c.owner, in)
	}
}

func (w *world) storeAnswers() { w.serve(w.takeCall(), "ok") }

func (w *world) storeAnswersAll() {
	for len(w.calls) > 0 {
		w.storeAnswers()
	}
}

func (w *world) storeFails() {
	w.serve(w.takeCall(), rapid.SampledFrom([]string{"down", "answer lost", "late"}).Draw(w.t, "end"))
}

func (w *world) lateWriteLands() {
	if len(w.late) == 0 {
		w.t.Skip("no late write")
	}
	i := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "late")
	act := w.late[i]
	w.late = slices.Delete(w.late, i, i+1)
	_, _ = w.store.put(objectName(act.shard, act.window), act.value, act.version)
}

func (w *world) ownerDies() {
	i := w.owner()
	w.owners[i] = newOwner()
	w.life[i]++
	for id, owner := range w.opOwner {
		if owner == i {
			delete(w.ops, id)
			delete(w.opOwner, id)
		}
	}
}

func (w *world) timePasses() {
	w.pass(time.Duration(rapid.IntRange(1, 1500).Draw(w.t, "ms")) * time.Millisecond)
}

func (w *world) longTimePasses() {
	w.pass(time.Duration(rapid.IntRange(1, 70).Draw(w.t, "minutes")) * time.Minute)
	w.skew[w.owner()] = time.Duration(rapid.IntRange(-90, 90).Draw(w.t, "clock error")) * time.Minute
}

// ringTurns makes a key whose record belongs into the object of an older key, and sets one
// owner's clock back, so that it takes the older key for a young one.
func (w *world) ringTurns() {
	if len(w.keys) == 0 {
		w.t.Skip("no key")
	}
	old, _ := locate("w", rapid.SampledFrom(w.keys).Draw(w.t, "key"))
	span := time.Duration(ringPages) * Window
	issued := old.issued.Add(span)
	n := uint64(len(w.keys)) << 8
	key := newKey(issued, n)
	for at, _ := locate("w", key); at.shard != old.shard; at, _ = locate("w", key) {
		n++
		key = newKey(issued, n)
	}
	w.keys = append(w.keys, key)
	if d := issued.Sub(w.wall); d > 0 {
		w.pass(d)
	}
	w.skew[w.owner()] = -span
}

func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	w.wall = w.wall.Add(d)
	w.step(0, tick{})
	w.step(1, tick{})
}

// settle lets the platform answer until nothing waits, and checks that a new key then runs.
func (w *world) settle() {
	w.skew = [2]time.Duration{}
	w.drain()
	n := len(w.tries) + 1
	a := &attempt{key: newKey(w.wall, 1<<40), nonce: fmt.Sprint("n", n), state: "begun", outcome: Outcome{Status: 1000 + n}}
	w.tries = append(w.tries, a)
	w.submit(0, opBegin, a, 5*time.Second)
	w.drain()
	if a.state != "ran" {
		w.t.Fatalf("a new key was not let run: %s", a.state)
	}
}

func (w *world) drain() {
	for range 400 {
		if len(w.ops) == 0 {
			return
		}
		for len(w.calls) > 0 {
			c := w.calls[0]
			w.calls = w.calls[1:]
			w.serve(c, "ok")
		}
		w.pass(tickPeriod)
	}
	w.t.Fatalf("%d operations wait for good", len(w.ops))
}

func TestCommitRunsAtMostOnceWhateverFails(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"new key":           func(t *rapid.T) { w.t = t; w.newKey() },
			"begin":             func(t *rapid.T) { w.t = t; w.begin() },
			"begin again":       func(t *rapid.T) { w.t = t; w.beginAgain() },
			"finish":            func(t *rapid.T) { w.t = t; w.finish() },
			"give up":           func(t *rapid.T) { w.t = t; w.giveUp() },
			"caller dies":       func(t *rapid.T) { w.t = t; w.callerDies() },
			"owner dies":        func(t *rapid.T) { w.t = t; w.ownerDies() },
			"store answers":     func(t *rapid.T) { w.t = t; w.storeAnswers() },
			"store answers all": func(t *rapid.T) { w.t = t; w.storeAnswersAll() },
			"store fails":       func(t *rapid.T) { w.t = t; w.storeFails() },
			"late write lands":  func(t *rapid.T) { w.t = t; w.lateWriteLands() },
			"time passes":       func(t *rapid.T) { w.t = t; w.timePasses() },
			"ring turns":        func(t *rapid.T) { w.t = t; w.ringTurns() },
			"long time passes":  func(t *rapid.T) { w.t = t; w.longTimePasses() },
		})
		w.settle()
	})
}
