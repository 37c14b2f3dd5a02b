// Package clock provides monotonic clocks. BootTime, which daemons use, also counts the time during which
// the process or its VM was suspended.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Tolerance is how much the wall clocks of two VMs may differ. What is stored with a time may be that much newer than
// its age says.
const Tolerance = 2 * time.Second

// Instant is a reading of a Clock in nanoseconds. Readings are comparable only within one process.
type Instant int64

// Add returns i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration i-j.
func (i Instant) Sub(j Instant) time.Duration { return time.Duration(i - j) }

// Before reports whether i is earlier than j.
func (i Instant) Before(j Instant) bool { return i < j }

// Clock is a source of instants.
type Clock interface {
	// Now returns the current instant.
	Now() Instant
}

// BootTime reads the kernel's CLOCK_BOOTTIME, which includes time spent suspended.
type BootTime struct{}

// Now returns the current instant. It falls back to Go's monotonic clock if CLOCK_BOOTTIME is unavailable.
func (BootTime) Now() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Instant(time.Since(processStart))
	}
	return Instant(ts.Nano())
}

var processStart = time.Now()

// Monotonic reads Go's monotonic clock. Inside a synctest bubble it follows the bubble's fake time.
type Monotonic struct{ start time.Time }

// NewMonotonic returns a Monotonic clock that starts at zero.
func NewMonotonic() Monotonic { return Monotonic{start: time.Now()} }

// Now returns the time since the clock was created.
func (p Monotonic) Now() Instant { return Instant(time.Since(p.start)) }

var (
	_ Clock = BootTime{}
	_ Clock = Monotonic{}
)

// Sleep waits for d and returns true, or returns false as soon as ctx ends.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
