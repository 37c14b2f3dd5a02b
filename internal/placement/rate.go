package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// rateMeter measures how many tokens a second a cell serves while requests wait.
type rateMeter struct {
	began    clock.Instant
	tokens   int64
	busy     bool
	perSec   float64
	measured clock.Instant
	now      clock.Instant
}

const (
	// rateWindow is the time over which the rate is measured.
	rateWindow = 500 * time.Millisecond
	// rateMemory is how long a measured rate counts.
	rateMemory = 5 * time.Second
	// rateStep is how fast a new measurement is taken over.
	rateStep = 0.5
)

func (m *rateMeter) served(tokens int64) { m.tokens += tokens }

// tick closes a window; it counts only when requests waited all through it.
func (m *rateMeter) tick(now clock.Instant, waiting bool) {
	m.now = now
	m.busy = m.busy && waiting
	took := now.Sub(m.began)
	if took < rateWindow {
		return
	}
	if m.busy && m.tokens > 0 {
		m.take(float64(m.tokens) / took.Seconds())
	}
	m.began = now
	m.tokens = 0
	m.busy = waiting
}

func (m *rateMeter) take(seen float64) {
	if _, ok := m.value(); ok {
		seen = m.perSec + rateStep*(seen-m.perSec)
	}
	m.perSec = seen
	m.measured = m.now
}

// value gives the rate in tokens a second; ok is false without a recent measurement.
func (m *rateMeter) value() (perSecond int64, ok bool) {
	if m.measured == 0 || m.now.Sub(m.measured) > rateMemory {
		return 0, false
	}
	return int64(max(1, m.perSec)), true
}
