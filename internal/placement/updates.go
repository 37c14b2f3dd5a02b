package placement

import (
	"context"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// updatePeriod is how long updates for another VM wait for company.
	updatePeriod = 10 * time.Millisecond
	// maxUpdates is the most updates that wait for one VM; beyond it the oldest are lost, and
	// the owner frees their claims when their deadline has passed.
	maxUpdates = 8192
	// maxBatchUpdates is the most updates in one message.
	maxBatchUpdates = 256
	// coalesceDepth is how many waiting updates are searched for one of the same request.
	coalesceDepth = 32
	// updateTimeout bounds one message; updateTries is how often it is sent.
	updateTimeout = 500 * time.Millisecond
	updateTries   = 3
)

// updateQueue brings progress and restored leases to owners: at once to this VM's own cells,
// in batches to other VMs.
type updateQueue struct {
	service *Service

	mu    sync.Mutex
	boxes map[string]*outbox
	wake  chan struct{}
}

// outbox holds what one VM is to be told.
type outbox struct {
	owner   membership.Member
	message updateMessage
	sending bool
}

func newUpdateQueue(s *Service) *updateQueue {
	return &updateQueue{service: s, boxes: map[string]*outbox{}, wake: make(chan struct{}, 1)}
}

// stage tells owner of progress.
func (q *updateQueue) stage(owner membership.Member, u stageUpdate) {
	if q.service.isSelf(owner) {
		if r := q.service.runner(u.Cell); r != nil {
			r.put(q.service.life, ProgressInput{ID: ident.RequestID{VM: q.service.opts.Self.VM, Seq: u.Seq}, Stage: u.Stage})
		}
		return
	}
	q.add(owner, func(m *updateMessage) { m.note(u) })
}

// note adds progress; a later stage of a request takes the place of an earlier one that waits.
func (m *updateMessage) note(u stageUpdate) {
	for i, o := range m.Stages[max(0, len(m.Stages)-coalesceDepth):] {
		if at := max(0, len(m.Stages)-coalesceDepth) + i; o.Cell == u.Cell && o.Seq == u.Seq {
			m.Stages[at] = u
			return
		}
	}
	m.Stages = append(m.Stages, u)
}

// restore tells owner of a lease that another owner made.
func (q *updateQueue) restore(owner membership.Member, l restoredLease) {
	if q.service.isSelf(owner) {
		if r := q.service.runner(l.Cell); r != nil {
			r.put(q.service.life, l.input())
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
	box := q.boxes[owner.VM.Name]
	if box == nil {
		box = &outbox{}
		q.boxes[owner.VM.Name] = box
	}
	box.owner = owner
	change(&box.message)
	box.trim()
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// trim drops the oldest updates over the bound.
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
		pause(ctx, updatePeriod)
		for _, name := range q.idle() {
			wg.Go(func() { q.drain(ctx, name) })
		}
	}
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// idle marks and gives the VMs that have updates and nothing under way.
func (q *updateQueue) idle() []string {
	q.mu.Lock()
	defer q.mu.Unlock()
	var names []string
	for name, b := range q.boxes {
		if !b.sending && !b.message.empty() {
			b.sending = true
			names = append(names, name)
		}
	}
	return names
}

func (m *updateMessage) empty() bool { return len(m.Stages)+len(m.Restored) == 0 }

// drain sends one VM's updates in order until there are none.
func (q *updateQueue) drain(ctx context.Context, name string) {
	for {
		owner, batch := q.next(name)
		if batch.empty() {
			return
		}
		if !q.send(ctx, owner, &batch) {
			lostUpdates.Add(len(batch.Stages) + len(batch.Restored))
		}
	}
}

// next takes a batch; without one the box is dropped.
func (q *updateQueue) next(name string) (membership.Member, updateMessage) {
	q.mu.Lock()
	defer q.mu.Unlock()
	b := q.boxes[name]
	var batch updateMessage
	batch.Restored, b.message.Restored = split(b.message.Restored)
	batch.Stages, b.message.Stages = split(b.message.Stages)
	if batch.empty() {
		delete(q.boxes, name)
	}
	return b.owner, batch
}

func split[T any](all []T) (batch, rest []T) {
	n := min(len(all), maxBatchUpdates)
	return all[:n:n], all[n:]
}

func (q *updateQueue) send(ctx context.Context, owner membership.Member, batch *updateMessage) bool {
	for try := range updateTries {
		call, cancel := context.WithTimeout(ctx, updateTimeout)
		_, err := peer.Call[updateMessage, updateReply](call, q.service.opts.Transport, owner.Peer, peer.KindPlaceUpdate, batch)
		cancel()
		if err == nil {
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		pause(ctx, updatePeriod<<(2*try))
	}
	return false
}
