package placement

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// loadRun drives a Cell with open-loop arrivals against fake engines that compute prompts one
// by one, decode in batches and report late. Time goes in steps of one millisecond.
type loadRun struct {
	cell   *Cell
	now    clock.Instant
	random *rand.Rand
	jobs   map[ident.RequestID]*job
	seq    uint64
	// pending holds what reaches the cell later.
	pending []delayed
	engines map[string]*fakeEngine
	names   []string
	results map[string]*tally
	wasted  int64
	spent   int64
}

type delayed struct {
	at clock.Instant
	in Input
}

type fakeEngine struct {
	prompts []*job
	left    time.Duration
	running []*job
	queue   []*job
	linkEnd clock.Instant
	cache   map[uint64]bool
	seq     uint64
}

type job struct {
	request      Request
	began        clock.Instant
	assignment   Assignment
	output       int64
	tokens       float64
	kept         clock.Instant
	imported     clock.Instant
	first, start clock.Instant
}

// tally counts one workspace's requests.
type tally struct{ sent, good, refused int }

func (t tally) share() float64 { return float64(t.good) / float64(max(1, t.sent)) }

const (
	loadPrefills, loadDecodes, loadSlots = 4, 8, 20
	messageLag                           = 3 * time.Millisecond
	reportLag                            = 250 * time.Millisecond
	// loadCapacity is the requests a second that the decode slots can serve at a full batch.
	loadCapacity = 23.0
)

func newLoadRun(policy string, seed uint64) *loadRun {
	r := &loadRun{
		cell:    NewCell(policy),
		now:     1,
		random:  rand.New(rand.NewPCG(seed, 1)),
		jobs:    map[ident.RequestID]*job{},
		engines: map[string]*fakeEngine{},
		results: map[string]*tally{},
	}
	endpoints := testEndpoints(loadPrefills, loadDecodes, loadSlots)
	for name := range endpoints {
		r.engines[name] = &fakeEngine{cache: map[uint64]bool{}}
	}
	r.names = slices.Sorted(maps.Keys(endpoints))
	r.feed(ConfigurationInput{Model: testModel, Endpoints: endpoints})
	r.now = r.now.Add(settleTime)
	return r
}

func (r *loadRun) later(d time.Duration, in Input) {
	r.pending = append(r.pending, delayed{at: r.now.Add(d), in: in})
}

func (r *loadRun) feed(in Input) {
	for _, a := range r.cell.Step(r.now, in) {
		if a.Decision != nil {
			r.decided(a.Decision)
		}
	}
}

func (r *loadRun) decided(d *Decision) {
	j := r.jobs[d.ID]
	if d.Refusal != nil {
		r.results[j.request.Workspace].refused++
		delete(r.jobs, d.ID)
		return
	}
	j.assignment = d.Assignment
	p := r.engines[d.Assignment.Prefill]
	p.prompts = append(p.prompts, j)
}

// arrive sends one request; prompts are mostly short, and share prefixes within a workspace.
func (r *loadRun) arrive(workspace string, class configuration.Class) {
	r.seq++
	prompt := int64(200 + r.random.ExpFloat64()*1500)
	var pieces []uint64
	for i := range min(prompt, 20_000) / 2048 {
		pieces = append(pieces, uint64(len(workspace))<<32|uint64(r.random.IntN(3))<<16|uint64(i))
	}
	output := int64(50 + r.random.IntN(350))
	request := Request{
		ID:              ident.RequestID{VM: ident.VM{Name: "v", Incarnation: 1}, Seq: r.seq},
		Workspace:       workspace,
		Weight:          1,
		Model:           "m",
		Class:           class,
		PromptTokens:    min(prompt, 20_000),
		MaxOutputTokens: output,
		Pieces:          pieces,
		DataCentre:      "dc",
		FirstToken:      820 * time.Millisecond,
		Gap:             57 * time.Millisecond,
		Deadline:        60 * time.Second,
		NeedPrefill:     true,
	}
	j := &job{request: request, began: r.now, output: max(1, int64(float64(output)*(0.2+0.8*r.random.Float64())))}
	r.jobs[request.ID] = j
	t := r.results[workspace]
	if t == nil {
		t = &tally{}
		r.results[workspace] = t
	}
	t.sent++
	r.feed(PlaceInput{Request: request})
}

func (r *loadRun) step() {
	r.now = r.now.Add(time.Millisecond)
	due := r.pending
	r.pending = nil
	for _, d := range due {
		if d.at <= r.now {
			r.feed(d.in)
		} else {
			r.pending = append(r.pending, d)
		}
	}
	for _, name := range r.names {
		if name[0] == 'p' {
			r.stepPrefill(name)
		} else {
			r.stepDecode(name)
		}
	}
	if r.now%clock.Instant(10*time.Millisecond) == 1 {
		r.feed(TickInput{})
	}
	if r.now%clock.Instant(500*time.Millisecond) == 1 {
		for _, name := range r.names {
			e := r.engines[name]
			r.later(reportLag, LoadInput{Endpoint: name, Load: endpoint.Load{Running: len(e.running), Queued: len(e.queue) + len(e.prompts)}})
		}
	}
}

func (r *loadRun) stepPrefill(name string) {
	e := r.engines[name]
	if len(e.prompts) == 0 {
		return
	}
	j := e.prompts[0]
	if e.left == 0 {
		cached := int64(0)
		for _, p := range j.request.Pieces {
			if !e.cache[p] {
				break
			}
			cached += testModel.PieceTokens
		}
		tokens := max(1, j.request.PromptTokens-cached)
		r.spent += tokens
		e.left = scale(ratio(tokens, testModel.PrefillTokensPerSecond), 0.9+0.2*r.random.Float64())
	}
	e.left -= time.Millisecond
	if e.left > 0 {
		return
	}
	e.left = 0
	e.prompts = e.prompts[1:]
	j.kept = r.now
	for _, p := range j.request.Pieces {
		e.cache[p] = true
		e.seq++
		r.later(reportLag, CacheInput{Endpoint: name, Events: []endpoint.CacheEvent{{Seq: e.seq, Piece: p, Present: true}}})
	}
	r.later(messageLag, ProgressInput{ID: j.request.ID, Stage: StagePrefillDone})
	d := r.engines[j.assignment.Decode]
	d.queue = append(d.queue, j)
}

func (r *loadRun) stepDecode(name string) {
	e := r.engines[name]
	for len(e.queue) > 0 && (len(e.running) < loadSlots || r.expired(e.queue[0])) {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if r.expired(j) {
			r.wasted += j.request.PromptTokens
			r.end(j, false)
			continue
		}
		took := ratio(j.request.PromptTokens*testModel.KVBytesPerToken, testLinkRate)
		e.linkEnd = max(e.linkEnd, r.now).Add(took)
		j.imported = e.linkEnd
		e.running = append(e.running, j)
	}
	gap := time.Duration(testModel.GapBaseMicros+testModel.GapPerSlotMicros*int64(len(e.running))) * time.Microsecond
	running := e.running[:0]
	for _, j := range e.running {
		if r.decode(j, gap) {
			running = append(running, j)
		}
	}
	e.running = running
}

func (r *loadRun) expired(j *job) bool {
	return r.now.Sub(j.kept) > time.Duration(testModel.KeepMillis)*time.Millisecond
}

// decode advances one request by a millisecond and reports whether it goes on.
func (r *loadRun) decode(j *job, gap time.Duration) bool {
	if r.now < j.imported {
		return true
	}
	j.tokens += float64(time.Millisecond) / float64(gap)
	if j.first == 0 && j.tokens >= 1 {
		j.first = r.now
		r.later(messageLag, ProgressInput{ID: j.request.ID, Stage: StageTransferDone})
	}
	if j.tokens < float64(j.output) {
		return true
	}
	gaps := max(1, j.output-1)
	good := j.first.Sub(j.began) <= j.request.FirstToken && r.now.Sub(j.first)/time.Duration(gaps) <= j.request.Gap
	if j.request.Class == configuration.MayWait {
		good = r.now.Sub(j.began) <= j.request.Deadline
	}
	r.end(j, good)
	return false
}

func (r *loadRun) end(j *job, good bool) {
	if good {
		r.results[j.request.Workspace].good++
	}
	delete(r.jobs, j.request.ID)
	r.later(messageLag, ProgressInput{ID: j.request.ID, Stage: StageReleased})
}

// run sends for a while at rates in requests a second, then lets everything end.
func (r *loadRun) run(d time.Duration, rates map[string]float64, order []string, mayWait string) {
	until := r.now.Add(d)
	for r.now < until {
		for _, w := range order {
			class := configuration.Urgent
			if w == mayWait {
				class = configuration.MayWait
			}
			if r.random.Float64() < rates[w]/1000 {
				r.arrive(w, class)
			}
		}
		r.step()
	}
	for range 120_000 {
		if len(r.jobs) == 0 {
			return
		}
		r.step()
	}
}

func (r *loadRun) total() tally {
	var sum tally
	for _, t := range r.results {
		sum.sent += t.sent
		sum.good += t.good
		sum.refused += t.refused
	}
	return sum
}

func (r *loadRun) wastedShare() float64 { return float64(r.wasted) / float64(max(1, r.spent)) }

var loadWorkspaces = []string{"a", "bb", "ccc", "dddd", "eeeee"}

// evenRates spreads a load, as a part of capacity, over the workspaces.
func evenRates(load float64) map[string]float64 {
	out := map[string]float64{}
	for _, w := range loadWorkspaces {
		out[w] = load * loadCapacity / float64(len(loadWorkspaces))
	}
	return out
}

// The targets for each load: goodput at least, wasted prefill at most. Each policy sees the
// same arrivals; the baselines must not do better.
func TestGoodputUnderLoad(t *testing.T) {
	for _, c := range []struct{ load, goodput, wasted float64 }{
		{0.85, 0.97, 0.01},
		{1.3, 0.78, 0.01},
	} {
		shares := map[string]float64{}
		for _, policy := range []string{PolicyPredictive, PolicyLeastLoaded, PolicyRoundRobin} {
			r := newLoadRun(policy, 7)
			r.run(20*time.Second, evenRates(c.load), loadWorkspaces, "")
			sum := r.total()
			shares[policy] = sum.share()
			t.Logf("load %.2f %-13s goodput %.3f refused %.3f wasted %.4f", c.load, policy, sum.share(), float64(sum.refused)/float64(sum.sent), r.wastedShare())
			if policy == PolicyPredictive && (sum.share() < c.goodput || r.wastedShare() > c.wasted) {
				t.Errorf("load %v: goodput %.3f and wasted %.4f, want %v and %v", c.load, sum.share(), r.wastedShare(), c.goodput, c.wasted)
			}
		}
		for policy, share := range shares {
			if share > shares[PolicyPredictive] {
				t.Errorf("load %v: %s has goodput %.3f, predictive %.3f", c.load, policy, share, shares[PolicyPredictive])
			}
		}
	}
}

// With one workspace at four times its share the cell is over its capacity; the others,
// one of which sends work that may wait, are served.
func TestBurstCostsItsSender(t *testing.T) {
	rates := evenRates(0.7)
	rates["a"] *= 4
	r := newLoadRun(PolicyPredictive, 3)
	r.run(30*time.Second, rates, loadWorkspaces, "eeeee")
	for _, w := range loadWorkspaces {
		tally := r.results[w]
		t.Logf("workspace %-6s sent %d good %d refused %d", w, tally.sent, tally.good, tally.refused)
		if w != "a" && tally.share() < 0.95 {
			t.Errorf("workspace %s kept within its share and has goodput %.3f", w, tally.share())
		}
	}
}
