package ledger

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// ask submits one operation and serves the platform until it is answered.
func (r *run) ask(at place, kind operationKind, op operation) result {
	r.ids++
	op.id, op.kind, op.place = r.ids, kind, at
	op.wall, op.deadline = epoch, r.now.Add(defaultTimeout)
	got := r.serve(r.machine.Step(r.now, submit{&op}))
	for range 200 {
		if got != nil {
			return *got
		}
		r.now = r.now.Add(tickPeriod)
		got = r.serve(r.machine.Step(r.now, tick{}))
	}
	r.t.Fatalf("%v by %s was not answered", kind, op.nonce)
	return result{}
}

// serve does the reads and writes that follow, and gives the answer if there is one.
func (r *run) serve(actions []action) (got *result) {
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		switch a := next.(type) {
		case answer:
			got = &a.result
		case readPage:
			object, err := r.store.get(objectName(a.shard, a.window))
			actions = append(actions, r.machine.Step(r.now, readDone{a.shard, a.window, object, err})...)
		case writePage:
			version, err := r.store.put(objectName(a.shard, a.window), a.value, a.version)
			actions = append(actions, r.machine.Step(r.now, writeDone{a.shard, a.window, version, err})...)
		}
	}
	return got
}

// An owner whose picture of a page is old reads it again before it refuses an outcome or takes
// an attempt for given up.
func TestOldPictureDoesNotLoseAnOutcome(t *testing.T) {
	for _, kind := range []operationKind{opFinish, opAbandon} {
		r := newRun(t)
		at, _ := locate("w", newKey(epoch, 1))
		first := operation{fingerprint: 1, nonce: "a"}
		second := operation{fingerprint: 1, nonce: "b", outcome: Outcome{Status: 201}}
		third := operation{fingerprint: 1, nonce: "c"}
		r.ask(at, opBegin, first)
		r.ask(at, opAbandon, first)
		old := r.machine
		r.machine = newOwner()
		if got := r.ask(at, opBegin, second); got.err != nil || got.outcome != nil {
			t.Fatal(got)
		}
		r.machine = old
		if got := r.ask(at, kind, second); got.err != nil {
			t.Fatalf("%v: %v", kind, got.err)
		}
		got := r.ask(at, opBegin, third)
		if got.err != nil || (got.outcome != nil) != (kind == opFinish) {
			t.Fatalf("after %v: %+v", kind, got)
		}
	}
}

func TestVerdictsOnOneKey(t *testing.T) {
	first := operation{fingerprint: 1, nonce: "a", outcome: Outcome{Status: 201}}
	r := newRun(t)
	at, _ := locate("w", newKey(epoch, 1))
	second := operation{fingerprint: 1, nonce: "b", outcome: Outcome{Status: 202}}
	other := operation{fingerprint: 2, nonce: "c"}
	for i, c := range []struct {
		kind   operationKind
		op     operation
		want   fault.Kind
		status int
	}{
		{opFinish, first, fault.Expired, 0}, // no record
		{opAbandon, first, "", 0},
		{opBegin, first, "", 0},
		{opBegin, first, "", 0}, // its own nonce
		{opBegin, second, fault.OutcomeUnknown, 0},
		{opBegin, other, fault.Conflict, 0},
		{opFinish, second, fault.Conflict, 0},
		{opAbandon, second, "", 0}, // none of its business
		{opBegin, second, fault.OutcomeUnknown, 0},
		{opAbandon, first, "", 0},
		{opFinish, first, fault.Conflict, 0},
		{opBegin, first, fault.Unavailable, 0}, // given up
		{opBegin, second, "", 0},
		{opFinish, second, "", 0},
		{opFinish, second, "", 0},
		{opAbandon, second, fault.Conflict, 0}, // it ran
		{opBegin, first, "", 202},
		{opBegin, other, fault.Conflict, 0},
	} {
		got := r.ask(at, c.kind, c.op)
		status := 0
		if got.outcome != nil {
			status = got.outcome.Status
		}
		if (got.err == nil) != (c.want == "") || (got.err != nil && !fault.Is(got.err, c.want)) || status != c.status {
			t.Fatalf("%d: %v by %s: got %d, %v; want %d, %q", i, c.kind, c.op.nonce, status, got.err, c.status, c.want)
		}
	}
}
