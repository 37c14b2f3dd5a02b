package spread

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
)

const (
	// confirmPeriod is the time between questions to VMs that have not confirmed a push.
	confirmPeriod = 300 * time.Millisecond
	// confirmTries bounds those questions.
	confirmTries = 10
)

// Call sends one message to a member and waits for the reply, at most CallTimeout.
func (r *Replica) Call(ctx context.Context, to membership.Member, m *Message) (*Message, error) {
	return r.CallFor(ctx, CallTimeout, to, m)
}

// CallFor is Call with another bound.
func (r *Replica) CallFor(ctx context.Context, bound time.Duration, to membership.Member, m *Message) (*Message, error) {
	ctx, cancel := context.WithTimeout(ctx, bound)
	defer cancel()
	return peer.Call[Message, Message](ctx, r.opts.Transport, to.Peer, r.opts.Kind, m)
}

// Outcome is one member's reply, or the error of the call.
type Outcome struct {
	Member membership.Member
	Reply  *Message
	Err    error
}

// CallAll sends one message to several members, a bounded number at a time.
func (r *Replica) CallAll(ctx context.Context, to []membership.Member, m *Message) []Outcome {
	out := make([]Outcome, len(to))
	slots := make(chan struct{}, parallelCalls)
	var wg sync.WaitGroup
	for i, member := range to {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			reply, err := r.Call(ctx, member, m)
			out[i] = Outcome{Member: member, Reply: reply, Err: err}
		})
	}
	wg.Wait()
	return out
}

// Neighbours gives the other members of this VM's data centre that are live or leaving.
func Neighbours(v *membership.View) []membership.Member {
	return Others(v, func(m membership.Member) bool { return m.DataCentre == v.Self.DataCentre })
}

// Others gives the members that are live or leaving and pass accept, without this VM.
func Others(v *membership.View, accept func(membership.Member) bool) []membership.Member {
	var out []membership.Member
	for _, m := range v.Members {
		running := m.State == membership.Alive || m.State == membership.Leaving
		if running && m.VM != v.Self.VM && accept(m) {
			out = append(out, m)
		}
	}
	return out
}

// push sends a delta to this VM's data centre and follows it until all have confirmed.
func (r *Replica) push(ctx context.Context, d Delta) {
	started := time.Now()
	raw, err := EncodeDelta(d)
	if err != nil {
		r.opts.Log.Error("push failed", zap.String("object", r.opts.Object), zap.Error(err))
		return
	}
	targets := Neighbours(r.opts.Directory.View())
	waiting := behind(r.CallAll(ctx, targets, &Message{Op: OpPush, Version: d.Version, Delta: raw}), d.Version)
	for tries := 0; len(waiting) > 0 && tries < confirmTries; tries++ {
		if !sleep(ctx, confirmPeriod) {
			return
		}
		waiting = behind(r.CallAll(ctx, waiting, &Message{Op: OpAsk}), d.Version)
	}
	took := time.Since(started)
	r.calls.spread.Update(took.Seconds())
	r.opts.Log.Info("version spread", zap.String("object", r.opts.Object), zap.Uint64("version", d.Version), zap.Int("bytes", len(raw)),
		zap.Int("vms", len(targets)), zap.Int("unconfirmed", len(waiting)), zap.Duration("took", took))
}

// behind gives the members that did not confirm a version.
func behind(outcomes []Outcome, version uint64) []membership.Member {
	var out []membership.Member
	for _, o := range outcomes {
		if o.Err != nil || o.Reply.Version < version {
			out = append(out, o.Member)
		}
	}
	return out
}

// relay hands a delta to the bridges of all data centres.
func (r *Replica) relay(ctx context.Context, d Delta) {
	raw, err := EncodeDelta(d)
	if err != nil {
		r.opts.Log.Error("relay failed", zap.String("object", r.opts.Object), zap.Error(err))
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
	in := Pulled{From: p.From}
	if m, ok := r.opts.Directory.View().Find(p.From.Name); ok {
		in = r.ask(ctx, m, p)
	}
	_ = r.loop.Put(ctx, in)
}

func (r *Replica) ask(ctx context.Context, m membership.Member, p Pull) Pulled {
	in := Pulled{From: p.From}
	reply, err := r.Call(ctx, m, &Message{Op: OpPull, Version: p.Have})
	if err != nil {
		return in
	}
	r.opts.OnBeside(reply.Names)
	if len(reply.Delta) > 0 {
		if d, err := DecodeDelta(reply.Delta); err == nil {
			in.Delta = &d
		}
	}
	if len(reply.Table) > 0 {
		if t, err := DecodeTable(reply.Table); err == nil {
			in.Table = t
		}
	}
	return in
}

// Held is the version that one VM holds.
type Held struct {
	VM         ident.VM
	DataCentre string
	Version    uint64
	// Answered is false when the VM could not be asked.
	Answered bool
}

// Ask asks every member that is not Gone which version it holds. self is this VM's own.
func (r *Replica) Ask(ctx context.Context, self uint64) []Held {
	v := r.opts.Directory.View()
	var targets []membership.Member
	out := []Held{{VM: v.Self.VM, DataCentre: v.Self.DataCentre, Version: self, Answered: true}}
	for _, m := range v.Members {
		if m.State != membership.Gone && m.VM != v.Self.VM {
			targets = append(targets, m)
		}
	}
	for _, o := range r.CallAll(ctx, targets, &Message{Op: OpAsk}) {
		h := Held{VM: o.Member.VM, DataCentre: o.Member.DataCentre}
		if o.Err == nil {
			h.Version, h.Answered = o.Reply.Version, true
		}
		out = append(out, h)
	}
	return out
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
