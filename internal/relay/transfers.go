package relay

import (
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// transferHistorySize is the number of completed transfers that running ones are compared with.
	transferHistorySize = 64
	// stallRatio is the multiple of the longest duration among completed transfers that started
	// later, above which a running transfer is considered stalled.
	stallRatio = 3
)

// transferHistory distinguishes a stalled transfer from one that is as slow as all others, for
// example because the engines or this VM are short of CPU time. Only a stalled transfer is worth a
// retry. It is safe for concurrent use.
type transferHistory struct {
	mu        sync.Mutex
	completed []completedTransfer // the most recent, at most transferHistorySize
}

type completedTransfer struct {
	startedAt clock.Instant
	duration  time.Duration
}

func (t *transferHistory) record(startedAt, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.completed) == transferHistorySize {
		t.completed = t.completed[1:]
	}
	t.completed = append(t.completed, completedTransfer{startedAt: startedAt, duration: now.Sub(startedAt)})
}

// isStalled reports whether transfers that started later have completed, each in less than
// 1/stallRatio of the time that the transfer started at startedAt has taken so far.
func (t *transferHistory) isStalled(startedAt, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest, overtaken := time.Duration(0), false
	for _, e := range t.completed {
		if e.startedAt >= startedAt {
			longest, overtaken = max(longest, e.duration), true
		}
	}
	return overtaken && now.Sub(startedAt) > stallRatio*longest
}

// stallCheckInterval is the interval between stall checks of a slow transfer.
const stallCheckInterval = 50 * time.Millisecond

// stallWatch detects a stalled transfer.
type stallWatch struct {
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
}

// watchTransfer checks from checkAfter on whether the transfer has stalled. It calls onStall if so,
// or at the latest at the first check after abortAfter.
func (s *session) watchTransfer(checkAfter, abortAfter time.Duration, onStall func()) *stallWatch {
	now := s.c.server.opts.Clock.Now
	startedAt := now()
	w := &stallWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(checkAfter, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.stopped:
		case now().Sub(startedAt) >= abortAfter || s.c.server.transfers.isStalled(startedAt, now()):
			onStall()
		default:
			w.timer.Reset(stallCheckInterval)
		}
	})
	return w
}

func (w *stallWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}
