package relay

import (
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// transfersKept is the number of ended transfers that others are compared with.
	transfersKept = 64
	// stallRatio is how many times as long as those that began later and have ended a transfer
	// may take, before it counts as stalled.
	stallRatio = 3
)

// transfers tells a transfer that stalled from one that is slow like all others, as when
// engines or this VM are short of processor time: only the first is worth another send. It is
// safe for use by many goroutines.
type transfers struct {
	mu    sync.Mutex
	ended []endedTransfer // the latest, at most transfersKept
}

type endedTransfer struct {
	begun clock.Instant
	took  time.Duration
}

func (t *transfers) end(begun, now clock.Instant) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.ended) == transfersKept {
		t.ended = t.ended[1:]
	}
	t.ended = append(t.ended, endedTransfer{begun: begun, took: now.Sub(begun)})
}

// stalled reports whether transfers that began later than one have ended, and in a small part
// of the time that it has taken so far.
func (t *transfers) stalled(begun, now clock.Instant) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	longest, later := time.Duration(0), false
	for _, e := range t.ended {
		if e.begun >= begun {
			longest, later = max(longest, e.took), true
		}
	}
	return later && now.Sub(begun) > stallRatio*longest
}

// stallRecheck is the time between looks at a transfer that takes long.
const stallRecheck = 50 * time.Millisecond

// transferWatch ends an attempt whose transfer stalled.
type transferWatch struct {
	mu    sync.Mutex
	over  bool
	timer *time.Timer
}

// watchTransfer looks from first on whether a transfer stalled, and takes it to have at last.
func (s *session) watchTransfer(first, last time.Duration, stall func()) *transferWatch {
	now := s.c.server.opts.Clock.Now
	begun := now()
	w := &transferWatch{}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(first, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		switch {
		case w.over:
		case now().Sub(begun) >= last || s.c.server.transfers.stalled(begun, now()):
			stall()
		default:
			w.timer.Reset(stallRecheck)
		}
	})
	return w
}

// stop ends the watch.
func (w *transferWatch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.over = true
	w.timer.Stop()
}
