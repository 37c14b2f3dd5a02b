package limiter

import (
	"context"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
)

const (
	// settlementPeriod is the longest that a settlement is delayed to be batched with others.
	settlementPeriod = 100 * time.Millisecond
	// maxBatchItems is the number of queued settlements that triggers an immediate send.
	maxBatchItems = 64
)

// settlementBatcher batches settlements per holder.
type settlementBatcher struct {
	send func(ident.VM, SettlementBatch)

	mu    sync.Mutex
	queue map[ident.VM][]Settlement
}

func newSettlementBatcher(send func(ident.VM, SettlementBatch)) *settlementBatcher {
	return &settlementBatcher{send: send, queue: map[ident.VM][]Settlement{}}
}

// add queues a settlement. It sends the queue if it is full or the settlement is urgent.
func (s *settlementBatcher) add(to ident.VM, item Settlement, urgent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue[to] = append(s.queue[to], item)
	if urgent || len(s.queue[to]) >= maxBatchItems {
		s.flushTo(to)
	}
}

// flushTo sends the queue of one holder. The caller must hold s.mu.
func (s *settlementBatcher) flushTo(to ident.VM) {
	items := s.queue[to]
	delete(s.queue, to)
	s.send(to, SettlementBatch{Items: items})
}

func (s *settlementBatcher) flush() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for to := range s.queue {
		s.flushTo(to)
	}
}

func (s *settlementBatcher) run(ctx context.Context) {
	t := time.NewTicker(settlementPeriod)
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
