package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// settlePeriod is the longest that a Settlement waits for others to the same holder.
	settlePeriod = 100 * time.Millisecond
	// settleBatchItems is the number of settlements that are sent without waiting.
	settleBatchItems = 64
)

// settler batches settlements by holder.
type settler struct {
	send func(ident.VM, SettleBatch)

	mu    sync.Mutex
	queue map[ident.VM][]Settlement
}

func newSettler(send func(ident.VM, SettleBatch)) *settler {
	return &settler{send: send, queue: map[ident.VM][]Settlement{}}
}

// add queues a Settlement and sends the queue when it is long or the Settlement is urgent.
func (s *settler) add(to ident.VM, item Settlement, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue[to] = append(s.queue[to], item)
	if urgent || len(s.queue[to]) >= settleBatchItems {
		s.flushTo(to)
	}
}

func (s *settler) flushTo(to ident.VM) {
	items := s.queue[to]
	delete(s.queue, to)
	s.send(to, SettleBatch{Items: items})
}

func (s *settler) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for to := range s.queue {
		s.flushTo(to)
	}
}

func (s *settler) run(ctx context.Context) {
	t := time.NewTicker(settlePeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			s.flush()
			return
		case <-t.C:
			s.flush()
		}
	}
}
