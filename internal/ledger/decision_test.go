package ledger

import (
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// execute submits one operation and performs the resulting store calls until it completes.
func (s *simulation) execute(loc location, kind operationKind, op operation) result {
	s.lastID++
	op.id, op.kind, op.location = s.lastID, kind, loc
	op.wallTime, op.deadline = epoch, s.now.Add(defaultTimeout)
	got := s.performActions(s.machine.Step(s.now, submit{&op}))
	for range 200 {
		if got != nil {
			return *got
		}
		s.now = s.now.Add(tickPeriod)
		got = s.performActions(s.machine.Step(s.now, tick{}))
	}
	s.t.Fatalf("%v with nonce %s did not complete", kind, op.nonce)
	return result{}
}

// performActions performs the store calls of the actions and of those that follow from them. It
// returns the result of the operation if it completed.
func (s *simulation) performActions(actions []action) (got *result) {
	for len(actions) > 0 {
		next := actions[0]
		actions = actions[1:]
		switch a := next.(type) {
		case respond:
			got = &a.result
		case readPage:
			object, err := s.store.get(objectName(a.shard, a.window))
			actions = append(actions, s.machine.Step(s.now, readDone{a.shard, a.window, object, err})...)
		case writePage:
			version, err := s.store.put(objectName(a.shard, a.window), a.value, a.version)
			actions = append(actions, s.machine.Step(s.now, writeDone{a.shard, a.window, version, err})...)
		}
	}
	return got
}

// An owner with an outdated cached page must read it again before it rejects an outcome or treats an
// attempt as abandoned. Otherwise an attempt recorded by another owner would lose its outcome.
func TestStalePageDoesNotDropOutcome(t *testing.T) {
	for _, kind := range []operationKind{opFinish, opAbandon} {
		s := newSimulation(t)
		loc, _ := locate("w", newKey(epoch, 1))
		first := operation{fingerprint: 1, nonce: "a"}
		second := operation{fingerprint: 1, nonce: "b", outcome: Outcome{Status: 201}}
		third := operation{fingerprint: 1, nonce: "c"}
		s.execute(loc, opBegin, first)
		s.execute(loc, opAbandon, first)
		old := s.machine
		s.machine = newOwner()
		if got := s.execute(loc, opBegin, second); got.err != nil || got.outcome != nil {
			t.Fatal(got)
		}
		s.machine = old
		if got := s.execute(loc, kind, second); got.err != nil {
			t.Fatalf("%v: %v", kind, got.err)
		}
		got := s.execute(loc, opBegin, third)
		if got.err != nil || (got.outcome != nil) != (kind == opFinish) {
			t.Fatalf("after %v: %+v", kind, got)
		}
	}
}

// A repeat that waits for the outcome gets it as soon as it is known: the outcome is written at once
// instead of after FlushDelay.
func TestAwaitedOutcomeIsWrittenAtOnce(t *testing.T) {
	s := newSimulation(t)
	loc, _ := locate("w", newKey(epoch, 1))
	first := operation{fingerprint: 1, nonce: "a", outcome: Outcome{Status: 201}}
	s.execute(loc, opBegin, first)
	submitted := func(id uint64, kind operationKind, op operation) *result {
		op.id, op.kind, op.location = id, kind, loc
		op.wallTime, op.deadline = epoch, s.now.Add(defaultTimeout)
		return s.performActions(s.machine.Step(s.now, submit{&op}))
	}
	if got := submitted(100, opBegin, operation{fingerprint: 1, nonce: "b"}); got != nil {
		t.Fatalf("the repeat did not wait: %+v", got)
	}
	s.now = s.now.Add(OutcomeWait - tickPeriod)
	if got := submitted(101, opFinish, first); got == nil || got.err != nil {
		t.Fatalf("the outcome was not recorded at once: %+v", got)
	}
	again := submitted(102, opBegin, operation{fingerprint: 1, nonce: "c"})
	if again == nil || again.outcome == nil || again.outcome.Status != 201 {
		t.Fatalf("a repeat after the outcome got %+v, want status 201", again)
	}
}

func TestDecisionsForOneKey(t *testing.T) {
	first := operation{fingerprint: 1, nonce: "a", outcome: Outcome{Status: 201}}
	s := newSimulation(t)
	loc, _ := locate("w", newKey(epoch, 1))
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
		{opBegin, first, "", 0}, // same nonce again
		{opBegin, second, fault.OutcomeUnknown, 0},
		{opBegin, other, fault.Conflict, 0},
		{opFinish, second, fault.Conflict, 0},
		{opAbandon, second, "", 0}, // abandoning an attempt that is not recorded has no effect
		{opBegin, second, fault.OutcomeUnknown, 0},
		{opAbandon, first, "", 0},
		{opFinish, first, fault.Conflict, 0},
		{opBegin, first, fault.Unavailable, 0}, // abandoned
		{opBegin, second, "", 0},
		{opFinish, second, "", 0},
		{opFinish, second, "", 0},
		{opAbandon, second, fault.Conflict, 0}, // it already ran
		{opBegin, first, "", 202},
		{opBegin, other, fault.Conflict, 0},
	} {
		got := s.execute(loc, c.kind, c.op)
		status := 0
		if got.outcome != nil {
			status = got.outcome.Status
		}
		if (got.err == nil) != (c.want == "") || (got.err != nil && !fault.Is(got.err, c.want)) || status != c.status {
			t.Fatalf("case %d: %v with nonce %s: got status %d, error %v; want %d, %q", i, c.kind, c.op.nonce, status, got.err, c.status, c.want)
		}
	}
}
