package placement

import (
	"context"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/notify"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// updatePeriod is how long updates to another VM are collected before they are sent as a
	// batch.
	updatePeriod = 10 * time.Millisecond
	// maxUpdates is the maximum number of queued updates to one VM. If there are more, the
	// oldest are dropped, and the owner frees the affected claims after their deadline.
	maxUpdates = 8192
	// maxBatchUpdates is the maximum number of updates of one kind in a message.
	maxBatchUpdates = 256
	// coalesceDepth is how many of the latest queued updates are searched for one of the same
	// request.
	coalesceDepth = 32
	// updateTimeout bounds one attempt to send a message; maxUpdateAttempts is the number of
	// attempts.
	updateTimeout     = 500 * time.Millisecond
	maxUpdateAttempts = 3
)

// updateQueue delivers progress and restored leases to owners: immediately to cells on this VM,
// and in batches to other VMs.
type updateQueue struct {
	service *Service

	mu       sync.Mutex
	outboxes map[string]*outbox
	wake     chan struct{}
}

// outbox holds the updates that wait to be sent to one VM.
type outbox struct {
	owner   membership.Member
	message updateMessage
	sending bool
}

func newUpdateQueue(s *Service) *updateQueue {
	return &updateQueue{service: s, outboxes: map[string]*outbox{}, wake: make(chan struct{}, 1)}
}

// sendStage reports progress to owner.
func (q *updateQueue) sendStage(owner membership.Member, u stageUpdate) {
	if q.service.isSelf(owner) {
		if r := q.service.runner(u.Cell); r != nil {
			r.put(q.service.ctx, ProgressInput{ID: ident.RequestID{VM: q.service.opts.Self.VM, Seq: u.Seq}, Stage: u.Stage})
		}
		return
	}
	q.add(owner, func(m *updateMessage) { m.addStage(u) })
}

// addStage adds progress. A later stage of a request replaces an earlier one that is still
// queued.
func (m *updateMessage) addStage(u stageUpdate) {
	for i, o := range m.Stages[max(0, len(m.Stages)-coalesceDepth):] {
		if at := max(0, len(m.Stages)-coalesceDepth) + i; o.Cell == u.Cell && o.Seq == u.Seq {
			m.Stages[at] = u
			return
		}
	}
	m.Stages = append(m.Stages, u)
}

// sendRestore informs owner of a lease that a previous owner granted.
func (q *updateQueue) sendRestore(owner membership.Member, l restoredLease) {
	if q.service.isSelf(owner) {
		if r := q.service.runner(l.Cell); r != nil {
			r.put(q.service.ctx, l.input())
		}
		return
	}
	q.add(owner, func(m *updateMessage) { m.Restored = append(m.Restored, l) })
}

func (q *updateQueue) add(owner membership.Member, change func(*updateMessage)) {
	if owner.VM.IsZero() || q.service.opts.Transport == nil {
		return
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.outboxes[owner.VM.Name]
	if b == nil {
		b = &outbox{}
		q.outboxes[owner.VM.Name] = b
	}
	b.owner = owner
	change(&b.message)
	b.trim()
	notify.Signal(q.wake)
}

// trim drops the oldest updates in excess of maxUpdates.
func (b *outbox) trim() {
	if over := len(b.message.Stages) - maxUpdates; over > 0 {
		b.message.Stages = b.message.Stages[over:]
		lostUpdates.Add(over)
	}
	if over := len(b.message.Restored) - maxUpdates; over > 0 {
		b.message.Restored = b.message.Restored[over:]
		lostUpdates.Add(over)
	}
}

// run sends batches until ctx ends.
func (q *updateQueue) run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.wake:
		}
		clock.Sleep(ctx, updatePeriod)
		for _, name := range q.takeReady() {
			wg.Go(func() { q.drain(ctx, name) })
		}
	}
}

// takeReady returns the VMs that have queued updates and no send in progress, and marks them as
// sending.
func (q *updateQueue) takeReady() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var names []string
	for name, b := range q.outboxes {
		if !b.sending && !b.message.empty() {
			b.sending = true
			names = append(names, name)
		}
	}
	return names
}

func (m *updateMessage) empty() bool { return len(m.Stages)+len(m.Restored) == 0 }

// drain sends the updates of one VM in order until none are left.
func (q *updateQueue) drain(ctx context.Context, name string) {
	for {
		owner, batch := q.nextBatch(name)
		if batch.empty() {
			return
		}
		if !q.send(ctx, owner, &batch) {
			lostUpdates.Add(len(batch.Stages) + len(batch.Restored))
		}
	}
}

// nextBatch removes and returns the next batch. If there is none, it deletes the outbox.
func (q *updateQueue) nextBatch(name string) (membership.Member, updateMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.outboxes[name]
	var batch updateMessage
	batch.Restored, b.message.Restored = splitBatch(b.message.Restored)
	batch.Stages, b.message.Stages = splitBatch(b.message.Stages)
	if batch.empty() {
		delete(q.outboxes, name)
	}
	return b.owner, batch
}

func splitBatch[T any](all []T) (batch, rest []T) {
	n := min(len(all), maxBatchUpdates)
	return all[:n:n], all[n:]
}

func (q *updateQueue) send(ctx context.Context, owner membership.Member, batch *updateMessage) bool {
	for attempt := range maxUpdateAttempts {
		call, cancel := context.WithTimeout(ctx, updateTimeout)
		_, err := peer.Call[updateMessage, updateReply](call, q.service.opts.Transport, owner.PeerAddress, peer.KindPlaceUpdate, batch)
		cancel()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		clock.Sleep(ctx, updatePeriod<<(2*attempt))
	}
	return false
}
