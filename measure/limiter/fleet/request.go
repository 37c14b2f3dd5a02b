package fleet

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Request is one arrival.
type Request struct {
	Workspace string
	// VM is where the balancer sends it.
	VM string
	// Tokens are reserved, Used are used, Length is the time until the settlement.
	Tokens, Used int64
	Length       time.Duration
	// Done is told of the outcome; it may be nil.
	Done func(admitted bool)
}

// request is one Request on its way.
type request struct {
	Request
	n       *node
	began   clock.Instant
	draw    *limiter.Acquisition
	sent    []sentAsk
	voided  int
	waited  map[string]bool
	exactly bool
}

type sentAsk struct {
	holder  ident.VM
	seq     uint64
	reached bool
}

// Arrive hands a request to its VM; a VM that is down passes it to the next live one.
func (f *Fleet) Arrive(r Request) {
	n := f.nodes[r.VM]
	for _, name := range sortedNames(f.nodes) {
		if n != nil && !n.dead && !n.paused {
			break
		}
		n = f.nodes[name]
	}
	j := f.Judge(r.Workspace)
	req := &request{Request: r, n: n, began: f.Now, waited: map[string]bool{}}
	if c := j.exact.take(f.Now, r.Tokens); c != nil {
		req.exactly = true
		f.after(r.Length, func() { c.settle(r.Used) })
	}
	switch f.Policy {
	case limiter.PolicyPooled:
		plan, ok := limiter.PlanLimit(&n.snapshot.Document, r.Workspace)
		if !ok || r.Tokens > plan.Burst {
			req.done(false)
			return
		}
		req.draw = limiter.NewAcquisition(r.Tokens, n.views(r.Workspace, plan))
		req.advance()
	default:
		req.baseline()
	}
}

func (n *node) views(workspace string, plan limiter.Limit) []limiter.ShareView {
	doc := &n.snapshot.Document
	return n.hints.ShareViews(n.f.Now, workspace, plan, limiter.ShareWeights(doc), regionsOf(doc), n.self.DataCentre)
}

func regionsOf(doc *configuration.Document) map[string]string {
	out := map[string]string{}
	for name, dc := range doc.DataCentres {
		out[name] = dc.Region
	}
	return out
}

// advance makes the next ask, or ends the draw.
func (r *request) advance() {
	a, more := r.draw.Next()
	for ; r.voided < len(r.draw.Released); r.voided++ {
		r.void(r.sent[r.draw.Released[r.voided].Ref])
	}
	if more {
		r.ask(a)
		return
	}
	if !r.draw.Admitted() {
		r.done(false)
		return
	}
	r.keep()
	r.done(true)
}

func (r *request) void(s sentAsk) {
	if s.reached {
		r.n.sendBatch(s.holder, limiter.SettlementBatch{Items: []limiter.Settlement{{Workspace: r.Workspace, Seq: s.seq}}})
	}
}

func (r *request) ask(a limiter.ShareRequest) {
	n, f := r.n, r.n.f
	n.seq++
	s := sentAsk{seq: n.seq}
	ref := len(r.sent)
	answered := false
	answer := func(reply limiter.ReserveReply) {
		if answered {
			return
		}
		answered = true
		r.heed(a.DataCentre, reply)
		r.draw.HandleReply(reply, ref)
		r.advance()
	}
	s.holder, s.reached = n.holder(a.DataCentre, limiter.ShardOf(r.Workspace))
	if !s.reached && n.records[a.DataCentre] == nil && !r.waited[a.DataCentre] {
		// the first ask of a data centre waits for its record
		r.waited[a.DataCentre] = true
		f.after(3*platformDelay, func() { n.do(func() { r.ask(a) }) })
		return
	}
	r.sent = append(r.sent, s)
	f.Judge(r.Workspace).Asks++
	if !s.reached {
		f.after(0, func() { answer(limiter.ReserveReply{Status: limiter.StatusUnreachable}) })
		return
	}
	msg := &limiter.ReserveRequest{Workspace: r.Workspace, Seq: s.seq, Tokens: a.Tokens, Mode: a.Mode}
	n.toLife(s.holder, Reserve, msg, func(to *node) {
		to.serve(n, msg, func(reply limiter.ReserveReply) {
			to.toLife(n.self.VM, Reply, &reply, func(*node) { answer(reply) })
		})
	})
	f.after(callTimeout, func() {
		n.do(func() { answer(limiter.ReserveReply{Status: limiter.StatusUnreachable}) })
	})
}

// holder gives the holder of a share, if it may be called.
func (n *node) holder(dataCentre string, shard int) (ident.VM, bool) {
	rec := n.records[dataCentre]
	if rec == nil {
		n.renew(dataCentre)
		return ident.VM{}, false
	}
	vm := rec.Shards[shard].VM
	for _, m := range n.currentView().Members {
		if m.VM == vm {
			ok := m.State == membership.Alive || m.State == membership.Leaving
			if !ok {
				n.renew(dataCentre)
			}
			return vm, ok
		}
	}
	n.renew(dataCentre)
	return vm, false
}

// renew reads a record that seems out of date, at most once a second.
func (n *node) renew(dataCentre string) {
	if n.asked[dataCentre] {
		return
	}
	n.asked[dataCentre] = true
	n.f.after(time.Second, func() { n.asked[dataCentre] = false })
	if dataCentre != n.self.DataCentre && n.askRecord(dataCentre) {
		return
	}
	n.platform(func() func() {
		r, version := n.f.Platform.get(limiter.RecordName(dataCentre))
		return func() {
			if dataCentre == n.self.DataCentre {
				n.step(limiter.RecordIn{Record: r, Version: version})
			} else if r != nil {
				n.learn(dataCentre, r, version)
			}
		}
	}, func() {})
}

// askRecord gets a data centre's record from one of its live VMs.
func (n *node) askRecord(dataCentre string) bool {
	for _, m := range n.currentView().Members {
		to := n.f.nodes[m.VM.Name]
		if m.DataCentre != dataCentre || m.State != membership.Alive || to.records[dataCentre] == nil {
			continue
		}
		return n.toLife(m.VM, Control, dataCentre, func(to *node) {
			rec, version := to.records[dataCentre], to.versions[dataCentre]
			body := []byte{}
			if version > n.versions[dataCentre] {
				body = rec.Encode()
			}
			to.toLife(n.self.VM, Control, body, func(back *node) { back.learn(dataCentre, rec, version) })
		})
	}
	return false
}

func (r *request) heed(dataCentre string, reply limiter.ReserveReply) {
	switch reply.Status {
	case limiter.StatusUnreachable, limiter.StatusNotHolder:
		r.n.renew(dataCentre)
	case limiter.StatusNoPlan:
	default:
		r.n.hints.Update(r.n.f.Now, r.Workspace, dataCentre, reply.Balance)
	}
}

// serve puts a request to the machine and notes the debit that it makes.
func (n *node) serve(from *node, msg *limiter.ReserveRequest, reply func(limiter.ReserveReply)) {
	n.nextCall++
	n.calls[n.nextCall] = func(out limiter.ReserveReply) {
		id := grantID{from.self.VM, msg.Seq}
		if out.Granted > 0 && n.f.grants[id] == nil {
			g := &Grant{At: n.f.Now, Tokens: out.Granted}
			n.f.grants[id] = g
			j := n.f.Judge(msg.Workspace)
			j.grants = append(j.grants, g)
		}
		reply(out)
	}
	n.step(limiter.ReserveIn{Call: n.nextCall, From: from.self.VM, Req: *msg})
}

// keep holds the parts until the request ends, and counts what each used.
func (r *request) keep() {
	n := r.n
	used := r.draw.SplitUsage(r.Used)
	for i, p := range r.draw.Grants {
		s := r.sent[p.Ref]
		n.f.grants[grantID{n.self.VM, s.seq}].Used = used[i]
		if p.Tentative() {
			n.queue[s.holder] = append(n.queue[s.holder], limiter.Settlement{Workspace: r.Workspace, Seq: s.seq, Used: limiter.ConfirmTentative})
		}
	}
	n.f.after(r.Length, func() {
		n.do(func() {
			for i, p := range r.draw.Grants {
				s := r.sent[p.Ref]
				n.queue[s.holder] = append(n.queue[s.holder], limiter.Settlement{Workspace: r.Workspace, Seq: s.seq, Used: used[i]})
			}
		})
	})
}

func (r *request) done(admitted bool) {
	j := r.n.f.Judge(r.Workspace)
	switch {
	case admitted:
		j.Admitted++
		j.Latency = append(j.Latency, r.n.f.Now.Sub(r.began))
	case r.exactly:
		j.Refused++
		j.Wrongful++
	default:
		j.Refused++
	}
	if r.Done != nil {
		r.Done(admitted)
	}
}

// baseline admits by the policies static and home, without message faults.
func (r *request) baseline() {
	f := r.n.f
	at, parts := r.n, int64(1)
	if f.Policy == limiter.PolicyStatic {
		parts = 0
		for _, m := range r.n.currentView().Members {
			if m.State == membership.Alive {
				parts++
			}
		}
	} else if owner, ok := r.n.currentView().Owner(r.Workspace, func(membership.Member) bool { return true }); ok {
		at = f.lifeOf(owner.VM)
	}
	delay := 2 * f.delay(r.n, at)
	if at.dead || at.paused {
		f.after(callTimeout, func() { r.done(false) })
		return
	}
	plan, _ := limiter.PlanLimit(&at.snapshot.Document, r.Workspace)
	l := limiter.Limit{Rate: plan.Rate / parts, Burst: plan.Burst / parts}
	b := at.local[r.Workspace]
	if b == nil {
		b = newReplay(f.Now, l)
		at.local[r.Workspace] = b
	}
	b.limit = l
	c := b.take(f.Now, r.Tokens)
	if c != nil {
		g := &Grant{At: f.Now, Tokens: r.Tokens, Used: r.Used}
		j := f.Judge(r.Workspace)
		j.grants = append(j.grants, g)
		f.after(r.Length, func() { c.settle(r.Used) })
	}
	f.after(delay, func() { r.done(c != nil) })
}
