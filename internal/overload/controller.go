package overload

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Controller makes Counts, Shedder and Waits safe for concurrent use.
type Controller struct {
	clock clock.Clock
	// onCount is called with the name and the new total of a class that this VM counts. It must not block.
	onCount func(name string, total int64)

	mu          sync.Mutex
	directShare float64
	weights     map[string]float64
	counts      *Counts
	shedder     *Shedder
	waits       *Waits
	loads       map[string]knownLoad
}

// knownLoad is the load of a service as of a time.
type knownLoad struct {
	load Load
	at   clock.Instant
}

// A load is used for loadTTL and for classTTL more for each class, so that summing up takes a few percent of a processor at
// most. News of other VMs is older anyway.
const (
	loadTTL  = 20 * time.Millisecond
	classTTL = 50 * time.Microsecond
)

// NewController returns the Controller of a VM that knows the given share of its fleet.
func NewController(c clock.Clock, directShare float64, onCount func(name string, total int64)) *Controller {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	return &Controller{
		clock: c, onCount: onCount, directShare: directShare,
		counts: NewCounts(c.Now()), shedder: NewShedder(random), waits: NewWaits(), loads: map[string]knownLoad{},
	}
}

// SetDirectShare sets the share of the fleet's VMs whose calls are counted, this one included.
func (c *Controller) SetDirectShare(share float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.directShare = share
}

// SetWeights sets the weights of workspaces within a rank, by name. One without a weight gets their mean.
func (c *Controller) SetWeights(weights map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.weights = weights
}

// AddFromPeer counts calls of another VM.
func (c *Controller) AddFromPeer(name string, n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.AddFromPeer(c.clock.Now(), name, n)
}

// Totals calls f with the name and the total of each class that this VM counts.
func (c *Controller) Totals(f func(name string, total int64)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Totals(c.clock.Now(), f)
}

// Arrive counts a call and decides whether it is placed.
func (c *Controller) Arrive(call Call, capacity Capacity) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	c.add(now, call.Class)
	return c.shedder.Decide(now, call, c.load(now, call.Service), capacity)
}

// Placed counts a call of a class that was placed.
func (c *Controller) Placed(class Class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	class.Returned, class.Placed = false, true
	c.add(c.clock.Now(), class)
}

// Rejected counts a send that an engine of a service rejected for lack of capacity.
func (c *Controller) Rejected(service string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.add(c.clock.Now(), Class{Service: service, Rejected: true})
}

func (c *Controller) add(now clock.Instant, class Class) {
	if total := c.counts.Add(now, class); total > 0 {
		c.onCount(class.Name(), total)
	}
}

func (c *Controller) load(now clock.Instant, service string) Load {
	if k, ok := c.loads[service]; ok && now.Sub(k.at) < loadTTL+classTTL*time.Duration(len(c.counts.classes)) {
		return k.load
	}
	load := c.counts.Load(now, service, c.directShare, func(workspace string) float64 { return c.weights[workspace] })
	c.loads[service] = knownLoad{load, now}
	return load
}

// RetryAfter returns the retry time of a call that was to be placed but found no capacity.
func (c *Controller) RetryAfter(d Decision, timeLeft time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shedder.RetryAfter(d, timeLeft)
}

// BeginWait is Waits.Begin.
func (c *Controller) BeginWait(service string, stage uint8, rank int, target, full time.Duration) Wait {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waits.Begin(c.clock.Now(), service, stage, rank, target, full)
}

// EndWait is Wait.End.
func (c *Controller) EndWait(w *Wait, placed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.End(c.clock.Now(), placed)
}

// AbandonWait is Wait.Abandon.
func (c *Controller) AbandonWait(w *Wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	w.Abandon()
}
