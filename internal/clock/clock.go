// Package clock gives the time that decisions use: a reading that never goes back
// and that counts the time a process or its VM was paused.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a reading of a Clock in nanoseconds. Only differences between two
// readings of the same process mean anything.
type Instant int64

// Add gives the instant d later.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub gives the time from j to i.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i comes before j.
func (i Instant) Before(j Instant) bool { return i < j }

// Clock is a source of instants.
type Clock interface {
	// Now gives the present instant.
	Now() Instant
}

// Boot reads the kernel's boot-time clock, which counts time spent suspended.
type Boot struct{}

// Now gives the present instant.
func (Boot) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Process reads Go's monotonic clock; inside a synctest bubble it follows the bubble's time.
type Process struct{ start time.Time }

// NewProcess starts a Process clock at zero.
func NewProcess() Process { return Process{start: time.Now()} }

// Now gives the present instant.
func (p Process) Now() Instant { return Instant(time.Since(p.start)) }

var (
	_ Clock = Boot{}
	_ Clock = Process{}
)
