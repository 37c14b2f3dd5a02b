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
// Until then the record is unsettled: it is neither told to other VMs nor stored, and the stream does not continue, also not at the only
// version.
const (
	// openPoll is the time between two looks at the evidence for a record.
	openPoll = 50 * time.Millisecond
	// openSeekAge is the age of a record from which on evidence is sought although the service has one version: most streams have ended
	// by then, and a later read may not list an endpoint that has ended meanwhile.
	openSeekAge = 2 * time.Second
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
func (c *Controller) BeganOpen(k Key, o traffic.StreamOrigin, left time.Duration, evidence backend.LifetimeEvidence, log *zap.Logger) {
	if c.beganOpen(k, o, left, evidence, log) {
		go c.settle(k)
	}
}

func (c *Controller) beganOpen(k Key, o traffic.StreamOrigin, left time.Duration, evidence backend.LifetimeEvidence, log *zap.Logger) bool {
	if k == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.opts.Clock.Now()
	return c.records.addUnsettled(now, Record{Key: k, Origin: o, Left: left + resumeWindow}, &openOrigin{evidence: evidence, log: log, began: now})
}

// settle awaits the evidence for a record until there is some, or the record is not needed any more.
func (c *Controller) settle(k Key) {
	for c.look(k, false) {
		time.Sleep(openPoll)
	}
}

// look reports whether a record still awaits evidence. It seeks evidence if the record is wanted now, or will be.
func (c *Controller) look(k Key, wanted bool) bool {
	c.mu.Lock()
	now := c.opts.Clock.Now()
	e, known := c.records.find(now, k)
	seek := known && (wanted || c.versions.hasOther(now, e.origin) || e.open != nil && now.Sub(e.open.began) >= openSeekAge)
	c.mu.Unlock()
	if !known || e.open == nil {
		return false
	}
	outcome := e.open.evidence.Look()
	if outcome == backend.LifetimeOpen && seek {
		e.open.evidence.Seek()
		outcome = e.open.evidence.Look()
	}
	if outcome == backend.LifetimeOpen {
		return true
	}
	c.record(k, e.open, outcome)
	return false
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
	e.open, e.unsettled = nil, !outcome.Confirmed()
	c.records.entries[k] = e
	_, sole := c.versions.sole(now, e.origin.Service)
	c.mu.Unlock()
	if outcome.Confirmed() && !sole {
		c.tell(Record{Key: k, Origin: e.origin, Left: e.until.Sub(now)})
	}
	c.opts.Metrics.GetOrCreateCounter(`fulmartide_new_stream_lifetimes_total{outcome="` + string(outcome) + `"}`).Inc()
	open.log.Info("version of a new stream", zap.String("software", e.origin.Version), zap.Bool("settled", outcome.Confirmed()),
		zap.String("lifetime", string(outcome)), zap.Duration("age", now.Sub(open.began)))
}

// Await waits until the record of a stream that began at this VM is settled, and reports whether it is not when ctx ends, or cannot be.
func (c *Controller) Await(ctx context.Context, k Key) (unsettled bool) {
	for c.look(k, true) {
		if !clock.Sleep(ctx, openPoll) {
			break
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	e, known := c.records.find(c.opts.Clock.Now(), k)
	return known && e.own && e.unsettled
}

// MarkUnsettled receives that another VM does not know yet where a stream began, so that it does not continue at the only version.
func (c *Controller) MarkUnsettled(k Key) {
	if k == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.records.addUnsettled(c.opts.Clock.Now(), Record{Key: k, Left: resumeWindow}, nil)
}
