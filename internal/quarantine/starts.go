package quarantine

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// startsPeriod is how long starts are counted together; they are kept for one to two periods.
	startsPeriod = 10 * time.Second
	// maxCountedParts is the maximum number of parts that are counted in a period.
	maxCountedParts = 4096
)

// recentStarts counts starts by part over the current and the previous period.
type recentStarts struct {
	current, previous map[string]int
	periodEnd         clock.Instant
}

func (r *recentStarts) advance(now clock.Instant) {
	if now.Before(r.periodEnd) {
		return
	}
	r.previous = r.current
	if now.Sub(r.periodEnd) >= startsPeriod {
		r.previous = nil
	}
	r.current, r.periodEnd = map[string]int{}, now.Add(startsPeriod)
}

func (r *recentStarts) add(now clock.Instant, part string, n int) {
	r.advance(now)
	if _, counted := r.current[part]; counted || len(r.current) < maxCountedParts {
		r.current[part] += n
	}
}

func (r *recentStarts) count(now clock.Instant, part string) int {
	r.advance(now)
	return r.current[part] + r.previous[part]
}
