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

// loadSimulation drives a Cell with open-loop arrivals against simulated engines that compute
// prompts one at a time, decode in batches and report with a delay. Time advances in steps of
// one millisecond.
type loadSimulation struct {
	cell   *Cell
	now    clock.Instant
	random *rand.Rand
	jobs   map[ident.RequestID]*job
	seq    uint64
	// pending holds the inputs that reach the cell later.
	pending       []delayedInput
	engines       map[string]*fakeEngine
	names         []string
	results       map[string]*requestCounts
	wastedTokens  int64
	prefillTokens int64
}

type delayedInput struct {
	at clock.Instant
	in Input
}

type fakeEngine struct {
	prompts   []*job
	remaining time.Duration
	running   []*job
	queue     []*job
	linkEnd   clock.Instant
	cache     map[uint64]bool
	seq       uint64
}

type job struct {
	request      Request
	arrivedAt    clock.Instant
	assignment   Assignment
	output       int64
	tokens       float64
	prefilledAt  clock.Instant
	importedAt   clock.Instant
	firstTokenAt clock.Instant
}

// requestCounts counts the requests of one workspace.
type requestCounts struct{ sent, good, refused int }

func (t requestCounts) goodput() float64 { return float64(t.good) / float64(max(1, t.sent)) }

const (
	loadPrefills, loadDecodes, loadSlots = 4, 8, 20
	messageDelay                         = 3 * time.Millisecond
	reportDelay                          = 250 * time.Millisecond
	// loadCapacity is the number of requests per second that the decode slots can serve with
	// full batches.
	loadCapacity = 23.0
)

func newLoadSimulation(policy string, seed uint64) *loadSimulation {
	s := &loadSimulation{
		cell:    NewCell(policy),
		now:     1,
		random:  rand.New(rand.NewPCG(seed, 1)),
		jobs:    map[ident.RequestID]*job{},
		engines: map[string]*fakeEngine{},
		results: map[string]*requestCounts{},
	}
	endpoints := testEndpoints(loadPrefills, loadDecodes, loadSlots)
	for name := range endpoints {
		s.engines[name] = &fakeEngine{cache: map[uint64]bool{}}
	}
	s.names = slices.Sorted(maps.Keys(endpoints))
	s.input(ConfigurationInput{Model: testModel, Endpoints: endpoints})
	s.now = s.now.Add(warmUpTime)
	return s
}

func (s *loadSimulation) schedule(d time.Duration, in Input) {
	s.pending = append(s.pending, delayedInput{at: s.now.Add(d), in: in})
}

func (s *loadSimulation) input(in Input) {
	for _, a := range s.cell.Step(s.now, in) {
		if a.Decision != nil {
			s.onDecision(a.Decision)
		}
	}
}

func (s *loadSimulation) onDecision(d *Decision) {
	j := s.jobs[d.ID]
	if d.Refusal != nil {
		s.results[j.request.Workspace].refused++
		delete(s.jobs, d.ID)
		return
	}
	j.assignment = d.Assignment
	p := s.engines[d.Assignment.Prefill]
	p.prompts = append(p.prompts, j)
}

// arrive sends one request. Most prompts are short; prompts of a workspace share prefixes.
func (s *loadSimulation) arrive(workspace string, class configuration.Class) {
	s.seq++
	prompt := int64(200 + s.random.ExpFloat64()*1500)
	var pieces []uint64
	for i := range min(prompt, 20_000) / 2048 {
		pieces = append(pieces, uint64(len(workspace))<<32|uint64(s.random.IntN(3))<<16|uint64(i))
	}
	output := int64(50 + s.random.IntN(350))
	request := Request{
		ID:              ident.RequestID{VM: ident.VM{Name: "v", Incarnation: 1}, Seq: s.seq},
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
	j := &job{request: request, arrivedAt: s.now, output: max(1, int64(float64(output)*(0.2+0.8*s.random.Float64())))}
	s.jobs[request.ID] = j
	t := s.results[workspace]
	if t == nil {
		t = &requestCounts{}
		s.results[workspace] = t
	}
	t.sent++
	s.input(PlaceInput{Request: request})
}

func (s *loadSimulation) step() {
	s.now = s.now.Add(time.Millisecond)
	due := s.pending
	s.pending = nil
	for _, d := range due {
		if d.at <= s.now {
			s.input(d.in)
		} else {
			s.pending = append(s.pending, d)
		}
	}
	for _, name := range s.names {
		if name[0] == 'p' {
			s.stepPrefill(name)
		} else {
			s.stepDecode(name)
		}
	}
	if s.now%clock.Instant(10*time.Millisecond) == 1 {
		s.input(TickInput{})
	}
	if s.now%clock.Instant(500*time.Millisecond) == 1 {
		for _, name := range s.names {
			e := s.engines[name]
			s.schedule(reportDelay, LoadInput{Endpoint: name, Load: endpoint.Load{Running: len(e.running), Queued: len(e.queue) + len(e.prompts)}})
		}
	}
}

func (s *loadSimulation) stepPrefill(name string) {
	e := s.engines[name]
	if len(e.prompts) == 0 {
		return
	}
	j := e.prompts[0]
	if e.remaining == 0 {
		cached := int64(0)
		for _, p := range j.request.Pieces {
			if !e.cache[p] {
				break
			}
			cached += testModel.PieceTokens
		}
		tokens := max(1, j.request.PromptTokens-cached)
		s.prefillTokens += tokens
		e.remaining = scaleDuration(durationAtRate(tokens, testModel.PrefillTokensPerSecond), 0.9+0.2*s.random.Float64())
	}
	e.remaining -= time.Millisecond
	if e.remaining > 0 {
		return
	}
	e.remaining = 0
	e.prompts = e.prompts[1:]
	j.prefilledAt = s.now
	for _, p := range j.request.Pieces {
		e.cache[p] = true
		e.seq++
		s.schedule(reportDelay, CacheInput{Endpoint: name, Events: []endpoint.CacheEvent{{Seq: e.seq, Piece: p, Present: true}}})
	}
	s.schedule(messageDelay, ProgressInput{ID: j.request.ID, Stage: StagePrefillDone})
	d := s.engines[j.assignment.Decode]
	d.queue = append(d.queue, j)
}

func (s *loadSimulation) stepDecode(name string) {
	e := s.engines[name]
	for len(e.queue) > 0 && (len(e.running) < loadSlots || s.expired(e.queue[0])) {
		j := e.queue[0]
		e.queue = e.queue[1:]
		if s.expired(j) {
			s.wastedTokens += j.request.PromptTokens
			s.finish(j, false)
			continue
		}
		transfer := durationAtRate(j.request.PromptTokens*testModel.KVBytesPerToken, testLinkRate)
		e.linkEnd = max(e.linkEnd, s.now).Add(transfer)
		j.importedAt = e.linkEnd
		e.running = append(e.running, j)
	}
	gap := time.Duration(testModel.GapBaseMicros+testModel.GapPerSlotMicros*int64(len(e.running))) * time.Microsecond
	running := e.running[:0]
	for _, j := range e.running {
		if s.decode(j, gap) {
			running = append(running, j)
		}
	}
	e.running = running
}

func (s *loadSimulation) expired(j *job) bool {
	return s.now.Sub(j.prefilledAt) > time.Duration(testModel.PrefillTTLMillis)*time.Millisecond
}

// decode advances one request by a millisecond and reports whether it is still running.
func (s *loadSimulation) decode(j *job, gap time.Duration) bool {
	if s.now < j.importedAt {
		return true
	}
	j.tokens += float64(time.Millisecond) / float64(gap)
	if j.firstTokenAt == 0 && j.tokens >= 1 {
		j.firstTokenAt = s.now
		s.schedule(messageDelay, ProgressInput{ID: j.request.ID, Stage: StageTransferDone})
	}
	if j.tokens < float64(j.output) {
		return true
	}
	gaps := max(1, j.output-1)
	good := j.firstTokenAt.Sub(j.arrivedAt) <= j.request.FirstToken && s.now.Sub(j.firstTokenAt)/time.Duration(gaps) <= j.request.Gap
	if j.request.Class == configuration.MayWait {
		good = s.now.Sub(j.arrivedAt) <= j.request.Deadline
	}
	s.finish(j, good)
	return false
}

func (s *loadSimulation) finish(j *job, good bool) {
	if good {
		s.results[j.request.Workspace].good++
	}
	delete(s.jobs, j.request.ID)
	s.schedule(messageDelay, ProgressInput{ID: j.request.ID, Stage: StageReleased})
}

// run sends requests at the given rates per second for d, then waits until all requests have
// ended.
func (s *loadSimulation) run(d time.Duration, rates map[string]float64, order []string, mayWait string) {
	until := s.now.Add(d)
	for s.now < until {
		for _, w := range order {
			class := configuration.Urgent
			if w == mayWait {
				class = configuration.MayWait
			}
			if s.random.Float64() < rates[w]/1000 {
				s.arrive(w, class)
			}
		}
		s.step()
	}
	for range 120_000 {
		if len(s.jobs) == 0 {
			return
		}
		s.step()
	}
}

func (s *loadSimulation) total() requestCounts {
	var sum requestCounts
	for _, t := range s.results {
		sum.sent += t.sent
		sum.good += t.good
		sum.refused += t.refused
	}
	return sum
}

func (s *loadSimulation) wastedShare() float64 {
	return float64(s.wastedTokens) / float64(max(1, s.prefillTokens))
}

var loadWorkspaces = []string{"a", "bb", "ccc", "dddd", "eeeee"}

// evenRates distributes a load, given as a fraction of loadCapacity, evenly over the
// workspaces.
func evenRates(load float64) map[string]float64 {
	out := map[string]float64{}
	for _, w := range loadWorkspaces {
		out[w] = load * loadCapacity / float64(len(loadWorkspaces))
	}
	return out
}

// For each load, the predictive policy must reach a minimum goodput with a maximum share of
// wasted prefill. All policies receive the same arrivals; the baselines must not have a higher
// goodput.
func TestGoodputUnderLoad(t *testing.T) {
	for _, c := range []struct{ load, goodput, wasted float64 }{
		{0.85, 0.97, 0.01},
		{1.3, 0.78, 0.01},
	} {
		goodputs := map[string]float64{}
		for _, policy := range []string{PolicyPredictive, PolicyLeastLoaded, PolicyRoundRobin} {
			sim := newLoadSimulation(policy, 7)
			sim.run(20*time.Second, evenRates(c.load), loadWorkspaces, "")
			total := sim.total()
			goodputs[policy] = total.goodput()
			t.Logf("load %.2f %-13s goodput %.3f refused %.3f wasted prefill %.4f", c.load, policy, total.goodput(), float64(total.refused)/float64(total.sent), sim.wastedShare())
			if policy == PolicyPredictive && (total.goodput() < c.goodput || sim.wastedShare() > c.wasted) {
				t.Errorf("load %v: goodput %.3f, wasted prefill %.4f; want at least %v and at most %v", c.load, total.goodput(), sim.wastedShare(), c.goodput, c.wasted)
			}
		}
		for policy, goodput := range goodputs {
			if goodput > goodputs[PolicyPredictive] {
				t.Errorf("load %v: %s has goodput %.3f, higher than predictive with %.3f", c.load, policy, goodput, goodputs[PolicyPredictive])
			}
		}
	}
}

// One workspace sends four times its share, which overloads the cell. The other workspaces must
// still be served, including one whose requests may wait.
func TestBurstOnlyAffectsItsWorkspace(t *testing.T) {
	rates := evenRates(0.7)
	rates["a"] *= 4
	sim := newLoadSimulation(PolicyPredictive, 3)
	sim.run(30*time.Second, rates, loadWorkspaces, "eeeee")
	for _, w := range loadWorkspaces {
		counts := sim.results[w]
		t.Logf("workspace %-6s sent %d good %d refused %d", w, counts.sent, counts.good, counts.refused)
		if w != "a" && counts.goodput() < 0.95 {
			t.Errorf("workspace %s stayed within its share but has goodput %.3f, want at least 0.95", w, counts.goodput())
		}
	}
}
