package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// rateMeter measures how many tokens per second a cell serves while it is backlogged, which means
// that requests are queued.
type rateMeter struct {
	windowStart     clock.Instant
	tokens          int64
	backlogged      bool
	tokensPerSecond float64
	measuredAt      clock.Instant
	now             clock.Instant
}

const (
	// rateWindow is the length of one measurement.
	rateWindow = 500 * time.Millisecond
	// rateTTL is how long a measured rate is valid.
	rateTTL = 5 * time.Second
	// rateSmoothing is the smoothing factor for new measurements.
	rateSmoothing = 0.5
)

func (m *rateMeter) addServed(tokens int64) { m.tokens += tokens }

// tick ends a window once it is long enough. A window counts only if the cell was backlogged at
// every tick in it.
func (m *rateMeter) tick(now clock.Instant, backlogged bool) {
	m.now = now
	m.backlogged = m.backlogged && backlogged
	elapsed := now.Sub(m.windowStart)
	if elapsed < rateWindow {
		return
	}
	if m.backlogged && m.tokens > 0 {
		m.record(float64(m.tokens) / elapsed.Seconds())
	}
	m.windowStart = now
	m.tokens = 0
	m.backlogged = backlogged
}

func (m *rateMeter) record(measured float64) {
	if _, ok := m.value(); ok {
		measured = m.tokensPerSecond + rateSmoothing*(measured-m.tokensPerSecond)
	}
	m.tokensPerSecond = measured
	m.measuredAt = m.now
}

// value returns the rate in tokens per second; ok is false without a recent measurement.
func (m *rateMeter) value() (perSecond int64, ok bool) {
	if m.measuredAt == 0 || m.now.Sub(m.measuredAt) > rateTTL {
		return 0, false
	}
	return int64(max(1, m.tokensPerSecond)), true
}
