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

// event is a scheduled event of a simulation.
type event struct {
	at  clock.Instant
	run func()
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

// simulation runs commits against one owner of all shards and a store with constant latency.
type simulation struct {
	t         *testing.T
	now       clock.Instant
	queue     events
	machine   *owner
	store     memoryStore
	startedAt map[uint64]clock.Instant
	toFinish  map[uint64]*operation
	lastID    uint64

	writes, reads, writtenBytes, largest int
	rejected                             int
	latencies                            []time.Duration
	storeFailing                         bool
}

const (
	storeLatency  = 5 * time.Millisecond
	commitLatency = 80 * time.Millisecond
)

// epoch is the wall-clock time at which simulations start. The value is arbitrary, but fits into the
// 48-bit timestamp of a version 7 UUID.
var epoch = time.UnixMilli(1 << 41)

func newSimulation(t *testing.T) *simulation {
	return &simulation{t: t, machine: newOwner(), store: memoryStore{}, startedAt: map[uint64]clock.Instant{}, toFinish: map[uint64]*operation{}}
}

func (s *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&s.queue, event{s.now.Add(d), run})
}

func (s *simulation) step(in input) {
	for _, a := range s.machine.Step(s.now, in) {
		switch a := a.(type) {
		case readPage:
			s.reads++
			s.schedule(storeLatency, func() { s.read(a) })
		case writePage:
			s.writes++
			s.writtenBytes += len(a.value)
			s.largest = max(s.largest, len(a.value))
			s.schedule(storeLatency, func() { s.write(a) })
		case respond:
			s.handleResponse(a)
		}
	}
}

func (s *simulation) read(a readPage) {
	object, err := s.store.get(objectName(a.shard, a.window))
	if s.storeFailing {
		object, err = objectstore.Object{}, errResponseLost
	}
	s.step(readDone{a.shard, a.window, object, err})
}

func (s *simulation) write(a writePage) {
	version, err := uint64(0), errResponseLost
	if !s.storeFailing {
		version, err = s.store.put(objectName(a.shard, a.window), a.value, a.version)
	}
	s.step(writeDone{a.shard, a.window, version, err})
}

func (s *simulation) handleResponse(a respond) {
	start, isBegin := s.startedAt[a.id]
	if !isBegin {
		return
	}
	delete(s.startedAt, a.id)
	if a.result.err != nil {
		s.rejected++
		return
	}
	s.latencies = append(s.latencies, s.now.Sub(start))
	op := *s.toFinish[a.id]
	s.schedule(commitLatency, func() { s.submit(opFinish, op) })
}

func (s *simulation) submit(kind operationKind, op operation) {
	s.lastID++
	op.id, op.kind = s.lastID, kind
	op.wallTime = epoch.Add(time.Duration(s.now))
	op.deadline = s.now.Add(defaultTimeout)
	if kind == opBegin {
		s.startedAt[op.id] = s.now
		s.toFinish[op.id] = &op
	}
	s.step(submit{&op})
}

func (s *simulation) begin(n uint64, body int) {
	loc, err := locate(fmt.Sprint("w", n%680), newKey(epoch.Add(time.Duration(s.now)), n))
	if err != nil {
		s.t.Fatal(err)
	}
	out := Outcome{Status: 200, ContentType: "application/json", Body: make([]byte, body)}
	s.submit(opBegin, operation{location: loc, fingerprint: 1, nonce: fmt.Sprint("r.vm-123.dk3j2h1l4k5j6.", n), outcome: out})
}

// runCommits submits commits at random times at the given average rate, then runs until no event is
// left.
func (s *simulation) runCommits(perSecond, body int, span time.Duration) {
	rng := rand.New(rand.NewPCG(1, 2))
	total := int(span.Seconds() * float64(perSecond))
	for n := range total {
		s.schedule(time.Duration(rng.Int64N(int64(span))), func() { s.begin(uint64(n), body) })
	}
	for d := time.Duration(0); d < span+defaultTimeout+time.Second; d += tickPeriod {
		s.schedule(d, func() { s.step(tick{}) })
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	slices.Sort(s.latencies)
}

// maxWriteRate is the maximum rate of page writes of all shards together, per second. The platform accepts
// several hundred writes per second from the whole fleet, and the ledger may use about a tenth of them.
const maxWriteRate = 40

func TestWriteRateStaysBelowTenthOfPlatformLimit(t *testing.T) {
	const span = 12 * time.Second
	for _, c := range []struct{ perSecond, body int }{{1, 200}, {58, 200}, {290, 200}, {580, 200}, {580, MaxOutcomeBody}} {
		s := newSimulation(t)
		s.runCommits(c.perSecond, c.body, span)
		total := c.perSecond * int(span.Seconds())
		rate := float64(s.writes) / span.Seconds()
		quantile := func(q float64) time.Duration { return s.latencies[int(q*float64(len(s.latencies)-1))] }
		t.Logf("%d commits/s, body %d B: %.1f writes/s, %.1f reads/s, %.3f writes/commit, %.0f KB/s, largest object %d KB, begin p50 %v p99 %v, %d rejected",
			c.perSecond, c.body, rate, float64(s.reads)/span.Seconds(), float64(s.writes)/float64(total),
			float64(s.writtenBytes)/span.Seconds()/1000, s.largest/1000, quantile(0.5), quantile(0.99), s.rejected)
		if rate > maxWriteRate {
			t.Errorf("%d commits/s: %.1f writes/s, want at most maxWriteRate", c.perSecond, rate)
		}
		if s.rejected > 0 || len(s.latencies) != total {
			t.Errorf("%d commits/s: %d rejected, %d of %d allowed to run", c.perSecond, s.rejected, len(s.latencies), total)
		}
		if s.largest > objectstore.MaxValueBytes {
			t.Errorf("object size of %d bytes exceeds the limit", s.largest)
		}
	}
}

// A full page rejects new intents and drops the bodies of further outcomes, but keeps their status.
func TestFullPageRejectsIntentsAndDropsBodies(t *testing.T) {
	s := newSimulation(t)
	s.runCommits(4000, MaxOutcomeBody, PageWindow)
	if s.rejected == 0 || s.largest > objectstore.MaxValueBytes {
		t.Fatalf("%d rejected, largest object %d bytes", s.rejected, s.largest)
	}
	truncated, complete := 0, 0
	for _, o := range s.store {
		_, records, err := decodePage(o.Value)
		if err != nil {
			t.Fatal(err)
		}
		for _, rec := range records {
			switch {
			case rec.State != stateDone || rec.Outcome.Status != 200:
				t.Fatalf("record without outcome in state %+v", rec.State)
			case rec.Outcome.Truncated:
				truncated++
			default:
				complete++
			}
		}
	}
	if truncated == 0 || complete == 0 {
		t.Fatalf("%d bodies dropped, %d kept", truncated, complete)
	}
}

// While the store is unavailable, commits are rejected before their deadline; they succeed again
// once it has recovered.
func TestCommitsAreRejectedDuringOutageAndRecover(t *testing.T) {
	s := newSimulation(t)
	s.storeFailing = true
	s.runCommits(200, 100, 10*time.Second)
	if len(s.latencies) != 0 || s.rejected != 2000 {
		t.Fatalf("%d allowed to run, %d rejected", len(s.latencies), s.rejected)
	}
	s.storeFailing = false
	for n := range uint64(100) {
		s.begin(1<<32+n, 100)
	}
	s.runCommits(0, 0, time.Second)
	if len(s.latencies) != 100 {
		t.Fatalf("%d of 100 allowed to run after the outage", len(s.latencies))
	}
}

// Commits succeed for more windows than the owner can cache pages for.
func TestMoreWindowsThanCachedPages(t *testing.T) {
	s := newSimulation(t)
	completed := 0
	for w := range 3 * maxPages {
		issued := epoch.Add(-time.Duration(w) * PageWindow)
		loc, err := locate("w", newKey(issued, uint64(w)))
		if err != nil {
			t.Fatal(err)
		}
		loc.shard = 0
		s.submit(opBegin, operation{location: loc, fingerprint: 1, nonce: fmt.Sprint(w)})
		s.runCommits(0, 0, time.Second)
	}
	completed = len(s.latencies)
	if completed != 3*maxPages || len(s.machine.shards[0].pages) > maxPages {
		t.Fatalf("%d allowed to run, %d rejected, %d pages cached", completed, s.rejected, len(s.machine.shards[0].pages))
	}
}
