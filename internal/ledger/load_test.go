package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/platform"
)

// event is one thing that happens in a simulated run of the owner machine.
type event struct {
	at clock.Instant
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// run simulates commits against one owner of all shards and a platform of steady latency.
type run struct {
	t       *testing.T
	now     clock.Instant
	queue   events
	machine *owner
	store   objects
	begun   map[uint64]clock.Instant
	finish  map[uint64]*operation
	ids     uint64

	writes, reads, written, largest int
	refused                         int
	waits                           []time.Duration
	failing                         bool
}

const (
	storeLatency  = 5 * time.Millisecond
	commitLatency = 80 * time.Millisecond
)

var epoch = time.UnixMilli(1 << 41)

func newRun(t *testing.T) *run {
	return &run{t: t, machine: newOwner(), store: objects{}, begun: map[uint64]clock.Instant{}, finish: map[uint64]*operation{}}
}

func (r *run) after(d time.Duration, do func()) { heap.Push(&r.queue, event{r.now.Add(d), do}) }

func (r *run) step(in input) {
	for _, a := range r.machine.Step(r.now, in) {
		switch a := a.(type) {
		case readPage:
			r.reads++
			r.after(storeLatency, func() { r.read(a) })
		case writePage:
			r.writes++
			r.written += len(a.value)
			r.largest = max(r.largest, len(a.value))
			r.after(storeLatency, func() { r.write(a) })
		case answer:
			r.answered(a)
		}
	}
}

func (r *run) read(a readPage) {
	object, err := r.store.get(objectName(a.shard, a.window))
	if r.failing {
		object, err = platform.Object{}, errLost
	}
	r.step(readDone{a.shard, a.window, object, err})
}

func (r *run) write(a writePage) {
	version, err := uint64(0), errLost
	if !r.failing {
		version, err = r.store.put(objectName(a.shard, a.window), a.value, a.version)
	}
	r.step(writeDone{a.shard, a.window, version, err})
}

func (r *run) answered(a answer) {
	start, isBegin := r.begun[a.id]
	if !isBegin {
		return
	}
	delete(r.begun, a.id)
	if a.result.err != nil {
		r.refused++
		return
	}
	r.waits = append(r.waits, r.now.Sub(start))
	op := *r.finish[a.id]
	r.after(commitLatency, func() { r.submit(opFinish, op) })
}

func (r *run) submit(kind operationKind, op operation) {
	r.ids++
	op.id, op.kind = r.ids, kind
	op.wall = epoch.Add(time.Duration(r.now))
	op.deadline = r.now.Add(defaultTimeout)
	if kind == opBegin {
		r.begun[op.id] = r.now
		r.finish[op.id] = &op
	}
	r.step(submit{&op})
}

func (r *run) begin(n uint64, body int) {
	at, err := locate(fmt.Sprint("w", n%680), newKey(epoch.Add(time.Duration(r.now)), n))
	if err != nil {
		r.t.Fatal(err)
	}
	out := Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, body)}
	r.submit(opBegin, operation{place: at, fingerprint: 1, nonce: fmt.Sprint("r.vm-123.dk3j2h1l4k5j6.", n), outcome: out})
}

// commits lets n commits a second come for a time, at random instants.
func (r *run) commits(perSecond, body int, span time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	total := int(span.Seconds() * float64(perSecond))
	for n := range total {
		r.after(time.Duration(rng.Int64N(int64(span))), func() { r.begin(uint64(n), body) })
	}
	for d := time.Duration(0); d < span+defaultTimeout+time.Second; d += tickPeriod {
		r.after(d, func() { r.step(tick{}) })
	}
	for len(r.queue) > 0 {
		e := heap.Pop(&r.queue).(event)
		r.now = e.at
		e.do()
	}
	slices.Sort(r.waits)
}

// The platform takes several hundred writes a second from the whole fleet: a tenth is this.
const writesTenth = 40

func TestWritesOfTheFleetStayUnderATenthOfThePlatform(t *testing.T) {
	const span = 12 * time.Second
	for _, c := range []struct{ perSecond, body int }{{1, 200}, {58, 200}, {290, 200}, {580, 200}, {580, MaxOutcomeBody}} {
		r := newRun(t)
		r.commits(c.perSecond, c.body, span)
		total := c.perSecond * int(span.Seconds())
		rate := float64(r.writes) / span.Seconds()
		quantile := func(q float64) time.Duration { return r.waits[int(q*float64(len(r.waits)-1))] }
		t.Logf("%d commits/s, body %d B: %.1f writes/s, %.1f reads/s, %.3f writes/commit, %.0f KB/s, largest object %d KB, begin p50 %v p99 %v, refused %d",
			c.perSecond, c.body, rate, float64(r.reads)/span.Seconds(), float64(r.writes)/float64(total),
			float64(r.written)/span.Seconds()/1000, r.largest/1000, quantile(0.5), quantile(0.99), r.refused)
		if rate > writesTenth {
			t.Errorf("%d commits/s: %.1f writes/s", c.perSecond, rate)
		}
		if r.refused > 0 || len(r.waits) != total {
			t.Errorf("%d commits/s: %d refused, %d of %d answered", c.perSecond, r.refused, len(r.waits), total)
		}
		if r.largest > platform.MaxValueBytes {
			t.Errorf("object of %d bytes", r.largest)
		}
	}
}

// A page that is full refuses intents, and keeps the outcome's status without its body.
func TestFullPageRefusesAndDropsBodies(t *testing.T) {
	r := newRun(t)
	r.commits(4000, MaxOutcomeBody, Window)
	if r.refused == 0 || r.largest > platform.MaxValueBytes {
		t.Fatalf("refused %d, largest object %d bytes", r.refused, r.largest)
	}
	truncated, whole := 0, 0
	for _, o := range r.store {
		_, records, err := decodePage(o.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range records {
			switch {
			case rec.State != stateDone || rec.Outcome.Status != 200:
				t.Fatalf("record without its outcome: %+v", rec.State)
			case rec.Outcome.Truncated:
				truncated++
			default:
				whole++
			}
		}
	}
	if truncated == 0 || whole == 0 {
		t.Fatalf("%d bodies dropped, %d kept", truncated, whole)
	}
}

// While the store is away commits are refused in time, and they run again once it is back.
func TestOutageRefusesInTimeAndEnds(t *testing.T) {
	r := newRun(t)
	r.failing = true
	r.commits(200, 100, 10*time.Second)
	if len(r.waits) != 0 || r.refused != 2000 {
		t.Fatalf("%d let run, %d refused", len(r.waits), r.refused)
	}
	r.failing = false
	for n := range uint64(100) {
		r.begin(1<<32+n, 100)
	}
	r.commits(0, 0, time.Second)
	if len(r.waits) != 100 {
		t.Fatalf("%d of 100 let run after the outage", len(r.waits))
	}
}

// More pages than an owner keeps in memory are served one after the other.
func TestManyWindowsAtOnce(t *testing.T) {
	r := newRun(t)
	served := 0
	for w := range 3 * maxPages {
		issued := epoch.Add(-time.Duration(w) * Window)
		at, err := locate("w", newKey(issued, uint64(w)))
		if err != nil {
			t.Fatal(err)
		}
		at.shard = 0
		r.submit(opBegin, operation{place: at, fingerprint: 1, nonce: fmt.Sprint(w)})
		r.commits(0, 0, time.Second)
	}
	served = len(r.waits)
	if served != 3*maxPages || len(r.machine.shards[0].pages) > maxPages {
		t.Fatalf("%d served, %d refused, %d pages", served, r.refused, len(r.machine.shards[0].pages))
	}
}

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
		{opFinish, first, fault.TooOld, 0}, // no record
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
