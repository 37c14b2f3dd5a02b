package ledger

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/objectstore"
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
		object, err = objectstore.Object{}, errLost
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
		if r.largest > objectstore.MaxValueBytes {
			t.Errorf("object of %d bytes", r.largest)
		}
	}
}

// A page that is full refuses intents, and keeps the outcome's status without its body.
func TestFullPageRefusesAndDropsBodies(t *testing.T) {
	r := newRun(t)
	r.commits(4000, MaxOutcomeBody, Window)
	if r.refused == 0 || r.largest > objectstore.MaxValueBytes {
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
