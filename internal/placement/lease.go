package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// lease implements Lease for one placed request.
type lease struct {
	service   *Service
	request   Request
	cell      string
	region    string
	startedAt clock.Instant

	mu         sync.Mutex
	owner      membership.Member
	current    Assignment
	assignedAt clock.Instant
	stage      Stage
	// active is set while an assignment is in force.
	active   bool
	released bool
}

// place sends m to the owner, and to the next candidates if an owner does not respond.
func (l *lease) place(ctx context.Context, m placeMessage) error {
	tried := map[string]bool{}
	var lastErr error
	for range maxOwnerAttempts {
		owner := l.service.owner(l.cell, l.region, tried)
		if tried[owner.VM.Name] {
			break
		}
		m.Request.FirstToken, m.Request.Deadline = l.remainingTargets()
		reply, err := l.service.placeAtOwner(ctx, owner, m)
		if err == nil {
			return l.accept(owner, reply)
		}
		if hasEnded(ctx) {
			l.sendRelease(owner)
			return errRequestEnded
		}
		lastErr = err
		tried[owner.VM.Name] = true
		l.ownerFailed(owner, err)
	}
	return fault.Wrap(lastErr, fault.Unavailable, "retry later", "no owner answered for cell "+l.cell, fault.WithRetryAfter(minEjection))
}

// hasEnded reports whether ctx is done or its deadline has passed. On a busy machine the timer of ctx
// may fire after the owner, which received the same deadline, has given up the request.
func hasEnded(ctx context.Context) bool {
	deadline, ok := ctx.Deadline()
	return ctx.Err() != nil || ok && !time.Now().Before(deadline)
}

// remainingTargets returns the unspent part of the latency targets.
func (l *lease) remainingTargets() (firstToken, deadline time.Duration) {
	elapsed := l.service.opts.Clock.Now().Sub(l.startedAt)
	firstToken = l.request.FirstToken
	if firstToken > 0 {
		firstToken = max(time.Millisecond, firstToken-elapsed)
	}
	return firstToken, max(time.Millisecond, l.request.Deadline-elapsed)
}

// ownerFailed handles an owner that did not answer. The owner may have placed the request
// nevertheless, so it is sent a release.
func (l *lease) ownerFailed(owner membership.Member, err error) {
	if l.service.isSelf(owner) {
		return
	}
	ownerFailures.Inc()
	if !fault.Is(err, fault.Overloaded) {
		l.service.opts.Directory.ReportUnreachable(owner.VM)
	}
	l.sendRelease(owner)
}

func (l *lease) sendRelease(owner membership.Member) {
	l.service.updates.sendStage(owner, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: StageReleased})
}

func (l *lease) accept(owner membership.Member, reply placeReply) error {
	if reply.Refusal != nil {
		return reply.Refusal.Err()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner = owner
	l.current = reply.Assignment
	l.assignedAt = l.service.opts.Clock.Now()
	l.stage = 0
	l.active = true
	return nil
}

// Assignment returns the current assignment.
func (l *lease) Assignment() Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Reassign abandons the current assignment after the endpoint failed has failed, and requests
// another.
func (l *lease) Reassign(ctx context.Context, failed string, needPrefill bool) (Assignment, error) {
	m := l.reassignMessage(failed, needPrefill)
	if err := l.place(ctx, m); err != nil {
		return Assignment{}, err
	}
	return l.Assignment(), nil
}

func (l *lease) reassignMessage(failed string, needPrefill bool) placeMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.request.Avoid, failed) {
		l.request.Avoid = append(slices.Clone(l.request.Avoid), failed)
	}
	r := l.request
	r.NeedPrefill = needPrefill
	r.PrefillHolder = ""
	if !needPrefill {
		r.PrefillHolder = l.current.Prefill
	}
	l.active = false
	return placeMessage{Cell: l.cell, Request: r, Failed: failed}
}

// Progress reports a completed stage to the owner.
func (l *lease) Progress(stage Stage) {
	l.mu.Lock()
	if !l.active || stage <= l.stage {
		l.mu.Unlock()
		return
	}
	l.stage = stage
	owner := l.owner
	l.mu.Unlock()
	l.service.updates.sendStage(owner, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: stage})
}

// Release frees all claims. It is idempotent.
func (l *lease) Release() {
	l.mu.Lock()
	if l.released {
		l.mu.Unlock()
		return
	}
	l.released = true
	owner := l.owner
	l.mu.Unlock()
	l.service.removeLease(l)
	l.service.updates.sendStage(owner, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: StageReleased})
}

// transferTo moves the lease to owner if that is a different VM than before.
func (l *lease) transferTo(owner membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active || l.released || owner.VM == l.owner.VM {
		return
	}
	former := l.owner
	l.owner = owner
	r := l.request
	r.Deadline = max(time.Millisecond, r.Deadline-l.assignedAt.Sub(l.startedAt))
	l.service.updates.sendRestore(owner, restoredLease{
		Cell:       l.cell,
		Request:    r,
		Assignment: l.current,
		Stage:      l.stage,
		Elapsed:    l.service.opts.Clock.Now().Sub(l.assignedAt),
	})
	l.service.updates.sendStage(former, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: StageReleased})
}
