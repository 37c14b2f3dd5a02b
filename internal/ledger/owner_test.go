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

var errResponseLost = fault.New(fault.Timeout, "none", "response lost", fault.WithExecution(fault.ExecutionUnknown))

// memoryStore is the object store of the model.
type memoryStore map[string]objectstore.Object

func (s memoryStore) put(name string, value []byte, ifVersion uint64) (uint64, error) {
	if s[name].Version != ifVersion {
		return 0, fault.New(fault.Conflict, "none", "version mismatch")
	}
	s[name] = objectstore.Object{Name: name, Version: ifVersion + 1, Value: value}
	return ifVersion + 1, nil
}

func (s memoryStore) get(name string) (objectstore.Object, error) {
	if o, ok := s[name]; ok {
		return o, nil
	}
	return objectstore.Object{}, fault.New(fault.NotFound, "none", "no such object")
}

// attempt is one attempt of a caller at a commit.
type attempt struct {
	key     string
	nonce   string
	state   string // begun, ran, finished, rejected, ended, ran then crashed
	outcome Outcome
	// finishing is set once an outcome was sent to an owner.
	finishing bool
}

type call struct {
	owner       int
	incarnation int
	action      action
}

// ownerModel runs two owners, each of which considers itself the owner of every shard.
type ownerModel struct {
	t             *rapid.T
	now           clock.Instant
	wall          time.Time
	clockSkew     [2]time.Duration
	store         memoryStore
	owners        [2]*owner
	incarnation   [2]int
	calls         []call
	delayedWrites []writePage
	ops           map[uint64]*operation
	opOwner       map[uint64]int
	attempts      []*attempt
	keys          []string
	nextOp        uint64
}

func newOwnerModel(t *rapid.T) *ownerModel {
	m := &ownerModel{t: t, now: 1, wall: time.UnixMilli(1 << 41), store: memoryStore{}, ops: map[uint64]*operation{}, opOwner: map[uint64]int{}}
	m.owners = [2]*owner{newOwner(), newOwner()}
	return m
}

func (m *ownerModel) step(i int, in input) {
	for _, a := range m.owners[i].Step(m.now, in) {
		if resp, ok := a.(respond); ok {
			m.handleResponse(resp)
			continue
		}
		m.calls = append(m.calls, call{i, m.incarnation[i], a})
	}
}

func (m *ownerModel) submit(i int, kind operationKind, a *attempt, wait time.Duration) {
	loc, err := locate("w", a.key)
	if err != nil {
		m.t.Fatal(err)
	}
	m.nextOp++
	op := &operation{
		id: m.nextOp, kind: kind, location: loc, fingerprint: 1, nonce: a.nonce, outcome: a.outcome,
		wallTime: m.wall.Add(m.clockSkew[i]), deadline: m.now.Add(wait),
	}
	m.ops[op.id] = op
	m.opOwner[op.id] = i
	m.step(i, submit{op})
}

func (m *ownerModel) attemptByNonce(nonce string) *attempt {
	return m.attempts[slices.IndexFunc(m.attempts, func(a *attempt) bool { return a.nonce == nonce })]
}

// handleResponse processes a response like the caller's VM and checks that a key runs at most once.
func (m *ownerModel) handleResponse(resp respond) {
	op := m.ops[resp.id]
	if op == nil {
		m.t.Fatalf("operation %d completed twice", resp.id)
	}
	delete(m.ops, resp.id)
	a := m.attemptByNonce(op.nonce)
	switch {
	case op.kind == opFinish && a.state == "ran" && fault.Is(resp.result.err, fault.Conflict):
		m.t.Fatalf("outcome of attempt %s was rejected: %v", a.nonce, resp.result.err)
	case op.kind == opFinish && resp.result.err == nil && a.state == "ran":
		a.state = "finished"
	case op.kind != opBegin || a.state != "begun":
	case resp.result.outcome != nil:
		m.checkOutcome(a, *resp.result.outcome)
		a.state = "rejected"
	case resp.result.err != nil:
		a.state = "rejected"
	default:
		a.state = "ran"
		m.checkOneRun(a.key)
	}
}

func (m *ownerModel) runs(key string) []*attempt {
	var out []*attempt
	for _, a := range m.attempts {
		if a.key == key && a.outcome.Status != 0 && (a.state == "ran" || a.state == "finished" || a.state == "ran then crashed") {
			out = append(out, a)
		}
	}
	return out
}

func (m *ownerModel) checkOneRun(key string) {
	if runs := m.runs(key); len(runs) > 1 {
		m.t.Fatalf("key %s was allowed to run by attempts %s and %s", key, runs[0].nonce, runs[1].nonce)
	}
}

func (m *ownerModel) checkOutcome(a *attempt, got Outcome) {
	runs := m.runs(a.key)
	if len(runs) != 1 || got.Status != runs[0].outcome.Status {
		m.t.Fatalf("key %s: repeated call got outcome %+v, runs %+v", a.key, got, runs)
	}
}

func (m *ownerModel) drawAttempt(states ...string) *attempt {
	var out []*attempt
	for _, a := range m.attempts {
		if slices.Contains(states, a.state) {
			out = append(out, a)
		}
	}
	if len(out) == 0 {
		m.t.Skip("no attempt in such a state")
	}
	return rapid.SampledFrom(out).Draw(m.t, "attempt")
}

func (m *ownerModel) drawOwner() int { return rapid.IntRange(0, 1).Draw(m.t, "owner") }

func (m *ownerModel) drawTimeout() time.Duration {
	return time.Duration(rapid.IntRange(100, 20000).Draw(m.t, "wait")) * time.Millisecond
}

const maxKeys = 3

func (m *ownerModel) newKey() {
	if len(m.keys) >= maxKeys {
		m.t.Skip("maximum number of keys reached")
	}
	clockSkew := time.Duration(rapid.Int64Range(-int64(2*MaxClockSkew), int64(2*MaxClockSkew)).Draw(m.t, "skew"))
	m.keys = append(m.keys, newKey(m.wall.Add(clockSkew), uint64(len(m.keys))))
}

func (m *ownerModel) begin() {
	if len(m.keys) == 0 {
		m.newKey()
	}
	key := rapid.SampledFrom(m.keys).Draw(m.t, "key")
	n := len(m.attempts) + 1
	a := &attempt{key: key, nonce: fmt.Sprint("n", n), state: "begun", outcome: Outcome{Status: 1000 + n}}
	m.attempts = append(m.attempts, a)
	m.submit(m.drawOwner(), opBegin, a, m.drawTimeout())
}

func (m *ownerModel) repeatBegin() {
	m.submit(m.drawOwner(), opBegin, m.drawAttempt("begun"), m.drawTimeout())
}

func (m *ownerModel) finish() {
	a := m.drawAttempt("ran", "finished")
	a.finishing = true
	m.submit(m.drawOwner(), opFinish, a, m.drawTimeout())
}

// abandon abandons an attempt that has not sent an outcome.
func (m *ownerModel) abandon() {
	a := m.drawAttempt("begun", "ran", "rejected", "ended")
	if a.finishing {
		m.t.Skip("its outcome was already sent")
	}
	a.state = "ended"
	m.submit(m.drawOwner(), opAbandon, a, m.drawTimeout())
}

func (m *ownerModel) crashCaller() {
	a := m.drawAttempt("begun", "ran")
	if a.state == "ran" {
		a.state = "ran then crashed"
		return
	}
	a.state = "ended"
}

func (m *ownerModel) takeCall() call {
	if len(m.calls) == 0 {
		m.t.Skip("no pending store call")
	}
	i := rapid.IntRange(0, len(m.calls)-1).Draw(m.t, "call")
	c := m.calls[i]
	m.calls = slices.Delete(m.calls, i, i+1)
	return c
}

func (m *ownerModel) finishCall(c call, outcome string) {
	switch action := c.action.(type) {
	case readPage:
		object, err := m.store.get(objectName(action.shard, action.window))
		if outcome != "ok" {
			object, err = objectstore.Object{}, errResponseLost
		}
		m.deliver(c, readDone{action.shard, action.window, object, err})
	case writePage:
		var version uint64
		err := errResponseLost
		switch outcome {
		case "ok":
			version, err = m.store.put(objectName(action.shard, action.window), action.value, action.version)
		case "response lost":
			_, _ = m.store.put(objectName(action.shard, action.window), action.value, action.version)
		case "delayed":
			m.delayedWrites = append(m.delayedWrites, action)
		}
		m.deliver(c, writeDone{action.shard, action.window, version, err})
	}
}

func (m *ownerModel) deliver(c call, in input) {
	if c.incarnation == m.incarnation[c.owner] {
		m.step(c.owner, in)
	}
}

func (m *ownerModel) completeCall() { m.finishCall(m.takeCall(), "ok") }

func (m *ownerModel) completeAllCalls() {
	for len(m.calls) > 0 {
		m.completeCall()
	}
}

func (m *ownerModel) failCall() {
	m.finishCall(m.takeCall(), rapid.SampledFrom([]string{"failed", "response lost", "delayed"}).Draw(m.t, "end"))
}

func (m *ownerModel) applyDelayedWrite() {
	if len(m.delayedWrites) == 0 {
		m.t.Skip("no delayed write")
	}
	i := rapid.IntRange(0, len(m.delayedWrites)-1).Draw(m.t, "delayed")
	action := m.delayedWrites[i]
	m.delayedWrites = slices.Delete(m.delayedWrites, i, i+1)
	_, _ = m.store.put(objectName(action.shard, action.window), action.value, action.version)
}

func (m *ownerModel) restartOwner() {
	i := m.drawOwner()
	m.owners[i] = newOwner()
	m.incarnation[i]++
	for id, owner := range m.opOwner {
		if owner == i {
			delete(m.ops, id)
			delete(m.opOwner, id)
		}
	}
}

func (m *ownerModel) advanceTime() {
	m.advance(time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "ms")) * time.Millisecond)
}

func (m *ownerModel) advanceLongTime() {
	m.advance(time.Duration(rapid.IntRange(1, 70).Draw(m.t, "minutes")) * time.Minute)
	m.clockSkew[m.drawOwner()] = time.Duration(rapid.IntRange(-90, 90).Draw(m.t, "clock error")) * time.Minute
}

// reuseRingSlot creates a key whose page has the same object as the page of an older key, and sets
// one owner's clock back so that it still accepts the older key.
func (m *ownerModel) reuseRingSlot() {
	if len(m.keys) == 0 {
		m.t.Skip("no key yet")
	}
	old, _ := locate("w", rapid.SampledFrom(m.keys).Draw(m.t, "key"))
	span := time.Duration(ringPages) * PageWindow
	issued := old.issuedAt.Add(span)
	n := uint64(len(m.keys)) << 8
	key := newKey(issued, n)
	for loc, _ := locate("w", key); loc.shard != old.shard; loc, _ = locate("w", key) {
		n++
		key = newKey(issued, n)
	}
	m.keys = append(m.keys, key)
	if d := issued.Sub(m.wall); d > 0 {
		m.advance(d)
	}
	m.clockSkew[m.drawOwner()] = -span
}

func (m *ownerModel) advance(d time.Duration) {
	m.now = m.now.Add(d)
	m.wall = m.wall.Add(d)
	m.step(0, tick{})
	m.step(1, tick{})
}

// checkRecovery completes all operations with a working store and checks that a new key then runs.
func (m *ownerModel) checkRecovery() {
	m.clockSkew = [2]time.Duration{}
	m.drain()
	n := len(m.attempts) + 1
	a := &attempt{key: newKey(m.wall, 1<<40), nonce: fmt.Sprint("n", n), state: "begun", outcome: Outcome{Status: 1000 + n}}
	m.attempts = append(m.attempts, a)
	m.submit(0, opBegin, a, 5*time.Second)
	m.drain()
	if a.state != "ran" {
		m.t.Fatalf("new key was not allowed to run: attempt is %s", a.state)
	}
}

func (m *ownerModel) drain() {
	for range 400 {
		if len(m.ops) == 0 {
			return
		}
		for len(m.calls) > 0 {
			c := m.calls[0]
			m.calls = m.calls[1:]
			m.finishCall(c, "ok")
		}
		m.advance(tickPeriod)
	}
	m.t.Fatalf("%d operations never complete", len(m.ops))
}

func TestCommitRunsAtMostOnceUnderFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newOwnerModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"new key":           func(t *rapid.T) { m.t = t; m.newKey() },
			"begin":             func(t *rapid.T) { m.t = t; m.begin() },
			"begin again":       func(t *rapid.T) { m.t = t; m.repeatBegin() },
			"finish":            func(t *rapid.T) { m.t = t; m.finish() },
			"give up":           func(t *rapid.T) { m.t = t; m.abandon() },
			"caller dies":       func(t *rapid.T) { m.t = t; m.crashCaller() },
			"owner dies":        func(t *rapid.T) { m.t = t; m.restartOwner() },
			"store answers":     func(t *rapid.T) { m.t = t; m.completeCall() },
			"store answers all": func(t *rapid.T) { m.t = t; m.completeAllCalls() },
			"store fails":       func(t *rapid.T) { m.t = t; m.failCall() },
			"late write lands":  func(t *rapid.T) { m.t = t; m.applyDelayedWrite() },
			"time passes":       func(t *rapid.T) { m.t = t; m.advanceTime() },
			"ring turns":        func(t *rapid.T) { m.t = t; m.reuseRingSlot() },
			"long time passes":  func(t *rapid.T) { m.t = t; m.advanceLongTime() },
		})
		m.checkRecovery()
	})
}
