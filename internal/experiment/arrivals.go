package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
)

// Fleet is what arrivals need to know of a fleet.
type Fleet struct {
	// Workspaces are sorted as in the layout, each with its plan.
	Workspaces []Workspace
	Model      configuration.Model
	// PrefillEngines and DecodeSlots give the capacity.
	PrefillEngines, DecodeSlots int
	// SlotsPerEngine of one decode engine.
	SlotsPerEngine int
}

// Workspace is a customer with its plan.
type Workspace struct {
	Name string
	Plan configuration.Plan
}

// Sizes of prompts and answers: log-normal, in tokens.
const (
	promptMedian = 700
	promptSigma  = 1.1
	promptMin    = 30
	promptMax    = 20_000
	answerMedian = 60
	answerSigma  = 0.6
	answerMin    = 4
	answerMax    = 400
	// sharedPrefixCount is the number of long beginnings that a workspace's prompts share.
	sharedPrefixCount = 6
	// sharedPrefixShare is the part of long prompts that begin with one of them.
	sharedPrefixShare = 0.5
	// maxTokensStep rounds up the bound that callers set on their answers.
	maxTokensStep = 64
	sampleCount   = 20_000
)

// Capacity gives the most chats a second that the fleet's engines can serve: the lower of
// prefill and decode at full batches, without cached prefixes.
func (f Fleet) Capacity() float64 {
	m := meanTokens()
	prefill := float64(f.PrefillEngines) * float64(f.Model.PrefillTokensPerSecond) / m.prompt
	gap := float64(f.Model.GapBaseMicros+int64(f.SlotsPerEngine)*f.Model.GapPerSlotMicros) / 1e6
	decode := float64(f.DecodeSlots) / (m.answer * gap)
	return min(prefill, decode)
}

// ScalePlan gives a plan whose rate keeps its share of the sum of all workspaces' rates, where
// the sum is headroom times the tokens that chats reserve a second at this load.
func (f Fleet) ScalePlan(p configuration.Plan, load, headroom, burstSeconds float64) configuration.Plan {
	m := meanTokens()
	demand := f.Capacity() * load * (m.prompt + m.maxTokens)
	p.TokensPerSecond = int64(float64(p.TokensPerSecond) / f.totalRate() * demand * headroom)
	p.BurstTokens = max(minBurst, int64(float64(p.TokensPerSecond)*burstSeconds))
	return p
}

// minBurst admits two of the largest requests at once.
const minBurst = 2 * (promptMax + answerMax + maxTokensStep)

func (f Fleet) totalRate() float64 {
	total := 0.0
	for _, w := range f.Workspaces {
		total += float64(w.Plan.TokensPerSecond)
	}
	return total
}

// tokenMeans are mean sizes of chats in tokens.
type tokenMeans struct{ prompt, answer, maxTokens float64 }

var meanTokens = sync.OnceValue(func() tokenMeans {
	rng := rand.New(rand.NewPCG(1, 1))
	var m tokenMeans
	for range sampleCount {
		answer := answerLength(rng)
		m.prompt += float64(promptLength(rng)) / sampleCount
		m.answer += float64(answer) / sampleCount
		m.maxTokens += float64(roundUpMaxTokens(answer)) / sampleCount
	}
	return m
})

// roundUpMaxTokens gives the bound that a caller sets on an answer of n tokens.
func roundUpMaxTokens(n int64) int64 { return (n + maxTokensStep - 1) / maxTokensStep * maxTokensStep }

func promptLength(rng *rand.Rand) int64 {
	return logNormal(rng, promptMedian, promptSigma, promptMin, promptMax)
}

func answerLength(rng *rand.Rand) int64 {
	return logNormal(rng, answerMedian, answerSigma, answerMin, answerMax)
}

func logNormal(rng *rand.Rand, median, sigma float64, low, high int64) int64 {
	return min(high, max(low, int64(median*math.Exp(sigma*rng.NormFloat64()))))
}

// Arrivals gives the calls of one run in order of time. The same spec, load and seed give the
// same calls.
func Arrivals(s Spec, f Fleet, load float64, seed uint64) []Call {
	total := f.totalRate()
	var out []Call
	for i, w := range f.Workspaces {
		g := generator{
			spec: s, workspace: w.Name, index: i, seed: seed, model: f.Model,
			rng:  rand.New(rand.NewPCG(seed, uint64(i+1))),
			rate: f.Capacity() * load * float64(w.Plan.TokensPerSecond) / total,
		}
		out = append(out, g.chats()...)
		out = append(out, g.plainCalls(Read, s.ReadsPerChat)...)
		out = append(out, g.plainCalls(Commit, s.CommitsPerChat)...)
	}
	slices.SortStableFunc(out, func(a, b Call) int { return int(a.At - b.At) })
	return out
}

// generator makes the calls of one workspace.
type generator struct {
	spec      Spec
	workspace string
	index     int
	seed      uint64
	model     configuration.Model
	rng       *rand.Rand
	rate      float64
}

// poissonArrivals gives Poisson arrivals; bursts raise the rate.
func (g *generator) poissonArrivals(rate float64, visit func(at time.Duration)) {
	if rate <= 0 {
		return
	}
	peak := rate
	for _, b := range g.spec.Bursts {
		if b.Workspace == g.index {
			peak = max(peak, rate*b.Factor)
		}
	}
	for at := 0.0; ; {
		at += g.rng.ExpFloat64() / peak
		if at >= g.spec.DurationSeconds {
			return
		}
		if g.rng.Float64()*peak < rate*g.factorAt(at) {
			visit(Seconds(at))
		}
	}
}

func (g *generator) factorAt(at float64) float64 {
	factor := 1.0
	for _, b := range g.spec.Bursts {
		if b.Workspace == g.index && at >= b.FromSeconds && at < b.ToSeconds {
			factor = max(factor, b.Factor)
		}
	}
	return factor
}

func (g *generator) chats() []Call {
	var out []Call
	g.poissonArrivals(g.rate, func(at time.Duration) {
		c := Call{At: at, Workspace: g.workspace, Kind: Chat, Class: configuration.Urgent, Pick: g.rng.Float64()}
		if g.rng.Float64() < g.spec.MayWaitShare {
			c.Class = configuration.MayWait
		}
		c.StopAt = answerLength(g.rng)
		c.MaxTokens = roundUpMaxTokens(c.StopAt)
		c.Tag = fmt.Sprintf("%s-%d-%d", g.workspace, g.seed, len(out))
		c.Prompt = g.prompt(c.Tag, c.StopAt)
		out = append(out, c)
	})
	return out
}

// prompt gives a text of a random length. Long ones may begin with a shared prefix.
func (g *generator) prompt(tag string, stop int64) string {
	size := int(promptLength(g.rng)) * bytesPerToken
	var b strings.Builder
	b.Grow(size)
	piece := int(g.model.PieceTokens) * bytesPerToken
	if size > piece && g.rng.Float64() < sharedPrefixShare {
		fill(&b, fmt.Sprintf("%s sheet %d ", g.workspace, g.rng.IntN(sharedPrefixCount)), size/piece*piece)
	}
	fmt.Fprintf(&b, "{tag:%s}{stop:%d} ", tag, stop)
	fill(&b, tag+" ", size)
	return b.String()
}

// fill repeats text until b holds size bytes.
func fill(b *strings.Builder, text string, size int) {
	for b.Len() < size {
		b.WriteString(text[:min(len(text), size-b.Len())])
	}
}

func (g *generator) plainCalls(kind Kind, perChat float64) []Call {
	var out []Call
	g.poissonArrivals(g.rate*perChat, func(at time.Duration) {
		c := Call{At: at, Workspace: g.workspace, Kind: kind, Class: configuration.Urgent, Pick: g.rng.Float64()}
		if kind == Commit {
			c.IdempotencyKey = g.uuid(at)
		}
		out = append(out, c)
	})
	return out
}

// uuid gives a UUID of version 7 for a time of issue at after the start of the run; Stamp
// turns it into one for the wall clock.
func (g *generator) uuid(at time.Duration) string {
	return formatUUID(uint64(at.Milliseconds()), g.rng.Uint64(), g.rng.Uint64())
}

func formatUUID(millis, a, b uint64) string {
	return fmt.Sprintf("%08x-%04x-7%03x-%04x-%012x",
		millis>>16&0xffffffff, millis&0xffff, a&0xfff, b>>48&0x3fff|0x8000, b&0xffffffffffff)
}

// StampKeys gives calls whose idempotency keys were issued in a run that starts at start.
func StampKeys(calls []Call, start time.Time) []Call {
	out := slices.Clone(calls)
	for i, c := range out {
		if c.IdempotencyKey == "" {
			continue
		}
		millis := uint64(start.Add(c.At).UnixMilli())
		out[i].IdempotencyKey = fmt.Sprintf("%08x-%04x", millis>>16&0xffffffff, millis&0xffff) + c.IdempotencyKey[13:]
	}
	return out
}

// VMIndex chooses one of n VMs for a call.
func (s Spec) VMIndex(c Call, n int) int {
	if n <= 1 {
		return 0
	}
	const hotShare, moveInterval = 0.8, 5 * time.Second
	hotVM := 0
	switch s.Balance {
	case BalanceUniform:
		return int(c.Pick * float64(n))
	case BalanceMoving:
		hotVM = int(c.At/moveInterval) % n
	}
	if c.Pick < hotShare {
		return hotVM
	}
	other := int((c.Pick - hotShare) / (1 - hotShare) * float64(n-1))
	return (hotVM + 1 + min(other, n-2)) % n
}
