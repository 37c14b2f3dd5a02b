package replication

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// confirmPeriod is the time between version queries to VMs that have not confirmed a push.
	confirmPeriod = 300 * time.Millisecond
	// maxConfirmAttempts is the maximum number of rounds of such queries after a push.
	maxConfirmAttempts = 10
)

// Call sends a message to a member and waits up to CallTimeout for the reply.
func (r *Replica) Call(ctx context.Context, to membership.Member, m *Message) (*Message, error) {
	return r.CallWithTimeout(ctx, CallTimeout, to, m)
}

// CallWithTimeout is Call with a different timeout.
func (r *Replica) CallWithTimeout(ctx context.Context, timeout time.Duration, to membership.Member, m *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return peer.Call[Message, Message](ctx, r.opts.Transport, to.PeerAddress, r.opts.Kind, m)
}

// CallResult is the reply of one member, or the error of the call.
type CallResult struct {
	Member membership.Member
	Reply  *Message
	Err    error
}

// CallAll sends a message to several members, at most maxParallelCalls at a time.
func (r *Replica) CallAll(ctx context.Context, to []membership.Member, m *Message) []CallResult {
	results := make([]CallResult, len(to))
	semaphore := make(chan struct{}, maxParallelCalls)
	var wg sync.WaitGroup
	for i, member := range to {
		semaphore <- struct{}{}
		wg.Go(func() {
			defer func() { <-semaphore }()
			reply, err := r.Call(ctx, member, m)
			results[i] = CallResult{Member: member, Reply: reply, Err: err}
		})
	}
	wg.Wait()
	return results
}

// LocalPeers returns the other members of this VM's data centre that are alive or leaving.
func LocalPeers(v *membership.View) []membership.Member {
	return Peers(v, func(m membership.Member) bool { return m.DataCentre == v.Self.DataCentre })
}

// Peers returns the members other than this VM that are alive or leaving and satisfy accept.
func Peers(v *membership.View, accept func(membership.Member) bool) []membership.Member {
	var out []membership.Member
	for _, m := range v.Members {
		running := m.State == membership.Alive || m.State == membership.Leaving
		if running && m.VM != v.Self.VM && accept(m) {
			out = append(out, m)
		}
	}
	return out
}

// push sends a delta to the other VMs of this data centre and queries those that did not confirm
// it, until all have or maxConfirmAttempts is reached.
func (r *Replica) push(ctx context.Context, d Delta) {
	started := time.Now()
	raw, err := EncodeDelta(d)
	if err != nil {
		r.opts.Log.Error("cannot encode delta for push", zap.String("object", r.opts.Object), zap.Error(err))
		return
	}
	targets := LocalPeers(r.opts.Directory.View())
	pending := unconfirmed(r.CallAll(ctx, targets, &Message{Op: OpPush, Version: d.Version, Delta: raw}), d.Version)
	for attempt := 0; len(pending) > 0 && attempt < maxConfirmAttempts; attempt++ {
		if !clock.Sleep(ctx, confirmPeriod) {
			return
		}
		pending = unconfirmed(r.CallAll(ctx, pending, &Message{Op: OpVersion}), d.Version)
	}
	elapsed := time.Since(started)
	r.calls.pushSeconds.Update(elapsed.Seconds())
	r.opts.Log.Info("version pushed", zap.String("object", r.opts.Object), zap.Uint64("version", d.Version), zap.Int("bytes", len(raw)),
		zap.Int("vms", len(targets)), zap.Int("unconfirmed", len(pending)), zap.Duration("took", elapsed))
}

// unconfirmed returns the members that did not confirm a version.
func unconfirmed(results []CallResult, version uint64) []membership.Member {
	var out []membership.Member
	for _, result := range results {
		if result.Err != nil || result.Reply.Version < version {
			out = append(out, result.Member)
		}
	}
	return out
}

// relay sends a delta to one VM of each data centre, including this VM's own: the first bridge that
// is not this VM.
func (r *Replica) relay(ctx context.Context, d Delta) {
	raw, err := EncodeDelta(d)
	if err != nil {
		r.opts.Log.Error("cannot encode delta for relay", zap.String("object", r.opts.Object), zap.Error(err))
		return
	}
	v := r.opts.Directory.View()
	var targets []membership.Member
	for _, dc := range v.DataCentres() {
		for _, b := range v.Bridges(dc) {
			if b.VM != v.Self.VM {
				targets = append(targets, b)
				break
			}
		}
	}
	r.CallAll(ctx, targets, &Message{Op: OpRelay, Version: d.Version, Delta: raw})
}

func (r *Replica) pull(ctx context.Context, p Pull) {
	result := PullCompleted{From: p.From}
	if m, ok := r.opts.Directory.View().Find(p.From.Name); ok {
		result = r.pullFrom(ctx, m, p)
	}
	_ = r.loop.Put(ctx, result)
}

func (r *Replica) pullFrom(ctx context.Context, m membership.Member, p Pull) PullCompleted {
	result := PullCompleted{From: p.From}
	reply, err := r.Call(ctx, m, &Message{Op: OpPull, Version: p.Since})
	if err != nil {
		return result
	}
	r.opts.OnAttachedNames(reply.Names)
	if len(reply.Delta) > 0 {
		if d, err := DecodeDelta(reply.Delta); err == nil {
			result.Delta = &d
		}
	}
	if len(reply.Table) > 0 {
		if t, err := DecodeTable(reply.Table); err == nil {
			result.Table = t
		}
	}
	return result
}

// MemberVersion is the version that one VM holds.
type MemberVersion struct {
	VM         ident.VM
	DataCentre string
	Version    uint64
	// Answered is false if the VM could not be queried.
	Answered bool
}

// QueryVersions queries every member that is not Gone for its version. self is this VM's own.
func (r *Replica) QueryVersions(ctx context.Context, self uint64) []MemberVersion {
	v := r.opts.Directory.View()
	var targets []membership.Member
	out := []MemberVersion{{VM: v.Self.VM, DataCentre: v.Self.DataCentre, Version: self, Answered: true}}
	for _, m := range v.Members {
		if m.State != membership.Gone && m.VM != v.Self.VM {
			targets = append(targets, m)
		}
	}
	for _, result := range r.CallAll(ctx, targets, &Message{Op: OpVersion}) {
		version := MemberVersion{VM: result.Member.VM, DataCentre: result.Member.DataCentre}
		if result.Err == nil {
			version.Version, version.Answered = result.Reply.Version, true
		}
		out = append(out, version)
	}
	return out
}
