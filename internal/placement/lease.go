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

// lease is this VM's hold on one placement.
type lease struct {
	service *Service
	request Request
	cell    string
	region  string
	began   clock.Instant

	mu       sync.Mutex
	owner    membership.Member
	current  Assignment
	assigned clock.Instant
	stage    Stage
	// held is false while no assignment is in force.
	held bool
	over bool
}

// ask asks the owner, and the next ones when it does not answer.
func (l *lease) ask(ctx context.Context, m askMessage) error {
	tried := map[string]bool{}
	var last error
	for range ownerTries {
		owner := l.service.owner(l.cell, l.region, tried)
		if tried[owner.VM.Name] {
			break
		}
		m.Request.FirstToken, m.Request.Deadline = l.left()
		reply, err := l.service.askOwner(ctx, owner, m)
		if err == nil {
			return l.take(owner, reply)
		}
		if ctx.Err() != nil {
			l.disown(owner)
			return errAskEnded
		}
		last = err
		tried[owner.VM.Name] = true
		l.ownerFailed(owner, err)
	}
	return fault.Wrap(last, fault.Unavailable, "retry later", "no owner answered for "+l.cell, fault.WithRetryAfter(minEjection))
}

// left gives what is left of the targets.
func (l *lease) left() (firstToken, deadline time.Duration) {
	spent := l.service.opts.Clock.Now().Sub(l.began)
	firstToken = l.request.FirstToken
	if firstToken > 0 {
		firstToken = max(time.Millisecond, firstToken-spent)
	}
	return firstToken, max(time.Millisecond, l.request.Deadline-spent)
}

// ownerFailed notes an owner that gave no answer. It may have placed the request none the
// less, so it is told that the request is over there.
func (l *lease) ownerFailed(owner membership.Member, err error) {
	if l.service.isSelf(owner) {
		return
	}
	ownerFailures.Inc()
	if !fault.Is(err, fault.Overloaded) {
		l.service.opts.Directory.Suspect(owner.VM)
	}
	l.disown(owner)
}

func (l *lease) disown(owner membership.Member) {
	l.service.updates.stage(owner, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: StageReleased})
}

func (l *lease) take(owner membership.Member, reply askReply) error {
	if reply.Refusal != nil {
		return reply.Refusal.Error()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.owner = owner
	l.current = reply.Assignment
	l.assigned = l.service.opts.Clock.Now()
	l.stage = 0
	l.held = true
	return nil
}

// Assignment gives the present assignment.
func (l *lease) Assignment() Assignment {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.current
}

// Reassign gives up the present assignment after failed failed, and asks for another.
func (l *lease) Reassign(ctx context.Context, failed string, needPrefill bool) (Assignment, error) {
	m := l.reassignment(failed, needPrefill)
	if err := l.ask(ctx, m); err != nil {
		return Assignment{}, err
	}
	return l.Assignment(), nil
}

func (l *lease) reassignment(failed string, needPrefill bool) askMessage {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !slices.Contains(l.request.Avoid, failed) {
		l.request.Avoid = append(slices.Clone(l.request.Avoid), failed)
	}
	r := l.request
	r.NeedPrefill = needPrefill
	r.Kept = ""
	if !needPrefill {
		r.Kept = l.current.Prefill
	}
	l.held = false
	return askMessage{Cell: l.cell, Request: r, Failed: failed, Started: l.stage >= StageTransferDone}
}

// Progress tells the owner of a stage that was passed.
func (l *lease) Progress(stage Stage) {
	l.mu.Lock()
	if !l.held || stage <= l.stage {
		l.mu.Unlock()
		return
	}
	l.stage = stage
	owner := l.owner
	l.mu.Unlock()
	l.service.updates.stage(owner, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: stage})
}

// Release frees all claims.
func (l *lease) Release() {
	l.mu.Lock()
	if l.over {
		l.mu.Unlock()
		return
	}
	l.over = true
	owner := l.owner
	l.mu.Unlock()
	l.service.drop(l)
	l.service.updates.stage(owner, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: StageReleased})
}

// follow hands the lease to a new owner when the cell has one.
func (l *lease) follow(owner membership.Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.held || l.over || owner.VM == l.owner.VM {
		return
	}
	former := l.owner
	l.owner = owner
	r := l.request
	r.Deadline = max(time.Millisecond, r.Deadline-l.assigned.Sub(l.began))
	l.service.updates.restore(owner, restoredLease{
		Cell:       l.cell,
		Request:    r,
		Assignment: l.current,
		Stage:      l.stage,
		Elapsed:    l.service.opts.Clock.Now().Sub(l.assigned),
	})
	l.service.updates.stage(former, stageUpdate{Cell: l.cell, Seq: l.request.ID.Seq, Stage: StageReleased})
}
