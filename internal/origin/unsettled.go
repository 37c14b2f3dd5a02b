package origin

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// The version of a new stream is that of its endpoint's entry, once it is known that the endpoint had not started again under its id.
// Until then the record is unsettled, and the stream does not continue, also not at the only version. The recorder stores it with the
// endpoint: a VM that knows it from there can find the evidence itself, as it was told after the stream began.
const (
	// openPoll is the time between two looks at the evidence for a record. It grows by a fraction, whose inverse is openPollGrowth, up to
	// maxOpenPoll.
	openPoll       = 50 * time.Millisecond
	openPollGrowth = 16
	maxOpenPoll    = 500 * time.Millisecond
	// openSeekAge is the age of a record from which on evidence is sought again although nobody waits for it. It is sought at once if the
	// endpoint is leaving, or the service has several versions: if all VMs end, and the endpoint too, only a settled record tells which one.
	openSeekAge = time.Second
	// maxOpenWait bounds the wait for evidence when a stream is resumed.
	maxOpenWait = time.Second
)

// openOrigin is a record of this VM that awaits evidence.
type openOrigin struct {
	evidence backend.LifetimeEvidence
	log      *zap.Logger
	began    clock.Instant
}

// BeganOpen is as Began, for a stream of which it is not known yet whether it began at the lifetime of its endpoint that the entry
// describes. log names the request.
func (c *Controller) BeganOpen(k Key, e traffic.Endpoint, left time.Duration, evidence backend.LifetimeEvidence, log *zap.Logger) {
	if c.beganOpen(k, e, left, evidence, log) {
		go c.settle(k)
	}
}

func (c *Controller) beganOpen(k Key, e traffic.Endpoint, left time.Duration, evidence backend.LifetimeEvidence, log *zap.Logger) bool {
	if k == 0 {
		return false
	}
	c.mu.Lock()
	now := c.opts.Clock.Now()
	rec := Record{Key: k, Origin: e.Origin(), Left: left + resumeWindow}
	added := c.records.addUnsettled(now, rec, e.ID, &openOrigin{evidence: evidence, log: log, began: now})
	told := added && c.versions.hasOther(now, rec.Origin)
	c.mu.Unlock()
	if told {
		c.opts.OnOpen()
	}
	return added
}

// settle awaits the evidence for a record until there is some, or the record is not needed any more.
func (c *Controller) settle(k Key) {
	for pause := openPoll; c.look(k, false); pause = min(pause+pause/openPollGrowth, maxOpenPoll) {
		time.Sleep(pause)
	}
}

// look reports whether a record still awaits evidence. It seeks evidence if the record is wanted now, or is old.
func (c *Controller) look(k Key, wanted bool) bool {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	if wanted {
		c.awaitToldRecord(now, k)
	}
	e, known := c.records.find(now, k)
	wanted = wanted || c.leaving[e.endpoint] || known && c.versions.hasOther(now, e.origin)
	c.mu.Unlock()
	if !known || e.open == nil {
		return false
	}
	outcome := e.open.evidence.Look()
	if outcome == backend.LifetimeOpen && (wanted || now.Sub(e.open.began) >= openSeekAge) {
		e.open.evidence.Seek()
		outcome = e.open.evidence.Look()
	}
	if outcome == backend.LifetimeOpen {
		return true
	}
	c.record(k, e.open, outcome)
	return false
}

// awaitToldRecord makes an unsettled record that this VM was told await evidence, if its endpoint is listed. c.mu must be held.
func (c *Controller) awaitToldRecord(now clock.Instant, k Key) {
	e, known := c.records.find(now, k)
	if !known || !e.unsettled || e.own || e.open != nil || c.opts.Evidence == nil {
		return
	}
	for _, listed := range c.endpoints {
		if listed.ID == e.endpoint && listed.Origin() == e.origin {
			e.open = &openOrigin{evidence: c.opts.Evidence(listed, e.toldAt), log: c.opts.Log, began: now}
			c.records.entries[k] = e
			return
		}
	}
}

// record records the evidence for a record.
func (c *Controller) record(k Key, open *openOrigin, outcome backend.LifetimeOutcome) {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	e, known := c.records.find(now, k)
	if !known || e.open != open {
		c.mu.Unlock()
		return
	}
	e.open, e.unsettled, e.unknowable = nil, !outcome.Confirmed(), e.own && !outcome.Confirmed()
	c.records.entries[k] = e
	follows := c.followsFromVersions(now, e.origin)
	c.mu.Unlock()
	if e.own && !(follows && outcome.Confirmed()) {
		c.tell(Record{Key: k, Origin: e.told(), Left: e.until.Sub(now)})
	}
	c.opts.Metrics.GetOrCreateCounter(`fulmartide_new_stream_lifetimes_total{outcome="` + string(outcome) + `"}`).Inc()
	open.log.Info("version of a new stream", zap.String("software", e.origin.Version), zap.Bool("settled", outcome.Confirmed()),
		zap.String("lifetime", string(outcome)), zap.Duration("age", now.Sub(open.began)))
}

// Await waits until the record of a stream that began at this VM is settled, and reports whether it is not when ctx ends, or cannot be,
// also of a stream of another VM that has said so.
func (c *Controller) Await(ctx context.Context, k Key) (unsettled bool) {
	for c.look(k, true) {
		if !clock.Sleep(ctx, openPoll) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := c.records.find(c.opts.Clock.Now(), k)
	return known && e.unsettled && (e.own || e.unknowable)
}

// MarkUnsettled receives that another VM does not know yet where a stream began, so that it does not continue at the only version.
func (c *Controller) MarkUnsettled(k Key) {
	if k == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.addUnsettled(c.opts.Clock.Now(), Record{Key: k, Left: resumeWindow}, traffic.EndpointID{}, nil)
}

// leavingOf returns the endpoints that are leaving.
func leavingOf(endpoints []traffic.Endpoint) map[traffic.EndpointID]bool {
	out := map[traffic.EndpointID]bool{}
	for i := range endpoints {
		if endpoints[i].Leaving {
			out[endpoints[i].ID] = true
		}
	}
	return out
}
