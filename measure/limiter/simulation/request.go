package simulation

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/limiter"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Request is a request of a caller.
type Request struct {
	Workspace string
	// VM is the name of the VM to which the load balancer sends the request.
	VM string
	// Tokens is the number of reserved tokens, Used the number of used tokens. Duration is the time
	// until the settlement.
	Tokens, Used int64
	Duration     time.Duration
	// Done is called with the result. It may be nil.
	Done func(admitted bool)
}

// request is the state of a Request in progress.
type request struct {
	Request
	node            *node
	arrivedAt       clock.Instant
	acquisition     *limiter.Acquisition
	sent            []sentRequest
	releasedCount   int
	awaitedRecords  map[string]bool
	referenceAdmits bool
}

type sentRequest struct {
	holder      ident.VM
	seq         uint64
	holderKnown bool
}

// Submit sends a request to its VM, or to another running VM if that one is down.
func (f *Fleet) Submit(r Request) {
	n := f.nodes[r.VM]
	for _, name := range sortedNames(f.nodes) {
		if n != nil && !n.dead && !n.paused {
			break
		}
		n = f.nodes[name]
	}
	checker := f.Checker(r.Workspace)
	req := &request{Request: r, node: n, arrivedAt: f.Now, awaitedRecords: map[string]bool{}}
	if c := checker.reference.take(f.Now, r.Tokens); c != nil {
		req.referenceAdmits = true
		f.schedule(r.Duration, func() { c.settle(r.Used) })
	}
	switch f.Policy {
	case limiter.PolicyPooled:
		plan, ok := limiter.PlanLimit(&n.snapshot.Document, r.Workspace)
		if !ok || r.Tokens > plan.Burst {
			req.finish(false)
			return
		}
		req.acquisition = limiter.NewAcquisition(r.Tokens, n.views(r.Workspace, plan))
		req.advance()
	default:
		req.runBaseline()
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

// advance sends the next share request or completes the acquisition. It also releases the grants that
// the acquisition no longer needs.
func (r *request) advance() {
	a, more := r.acquisition.Next()
	for ; r.releasedCount < len(r.acquisition.Released); r.releasedCount++ {
		r.release(r.sent[r.acquisition.Released[r.releasedCount].Ref])
	}
	if more {
		r.requestShare(a)
		return
	}
	if !r.acquisition.Admitted() {
		r.finish(false)
		return
	}
	r.useGrants()
	r.finish(true)
}

func (r *request) release(s sentRequest) {
	if s.holderKnown {
		r.node.sendBatch(s.holder, limiter.SettlementBatch{Items: []limiter.Settlement{{Workspace: r.Workspace, Seq: s.seq}}})
	}
}

func (r *request) requestShare(a limiter.ShareRequest) {
	n, f := r.node, r.node.f
	n.seq++
	s := sentRequest{seq: n.seq}
	ref := len(r.sent)
	answered := false
	answer := func(reply limiter.ReserveReply) {
		if answered {
			return
		}
		answered = true
		r.handleStatus(a.DataCentre, reply)
		r.acquisition.HandleReply(reply, ref)
		r.advance()
	}
	s.holder, s.holderKnown = n.holder(a.DataCentre, limiter.ShardOf(r.Workspace))
	if !s.holderKnown && n.records[a.DataCentre] == nil && !r.awaitedRecords[a.DataCentre] {
		// The first request to a data centre waits until its record has been read.
		r.awaitedRecords[a.DataCentre] = true
		f.schedule(3*platformDelay, func() { n.runOrDefer(func() { r.requestShare(a) }) })
		return
	}
	r.sent = append(r.sent, s)
	f.Checker(r.Workspace).ShareRequests++
	if !s.holderKnown {
		f.schedule(0, func() { answer(limiter.ReserveReply{Status: limiter.StatusUnreachable}) })
		return
	}
	msg := &limiter.ReserveRequest{Workspace: r.Workspace, Seq: s.seq, Tokens: a.Tokens, Mode: a.Mode}
	n.sendTo(s.holder, Reserve, msg, func(to *node) {
		to.serve(n, msg, func(reply limiter.ReserveReply) {
			to.sendTo(n.self.VM, Reply, &reply, func(*node) { answer(reply) })
		})
	})
	f.schedule(callTimeout, func() {
		n.runOrDefer(func() { answer(limiter.ReserveReply{Status: limiter.StatusUnreachable}) })
	})
}

// holder returns the holder of a share and whether it can be called.
func (n *node) holder(dataCentre string, shard int) (ident.VM, bool) {
	rec := n.records[dataCentre]
	if rec == nil {
		n.refreshRecord(dataCentre)
		return ident.VM{}, false
	}
	vm := rec.Shards[shard].VM
	for _, m := range n.currentView().Members {
		if m.VM == vm {
			ok := m.State == membership.Alive || m.State == membership.Leaving
			if !ok {
				n.refreshRecord(dataCentre)
			}
			return vm, ok
		}
	}
	n.refreshRecord(dataCentre)
	return vm, false
}

// refreshRecord reads a data centre's record again if the cached one may be outdated, at most once per
// second.
func (n *node) refreshRecord(dataCentre string) {
	if n.refreshed[dataCentre] {
		return
	}
	n.refreshed[dataCentre] = true
	n.f.schedule(time.Second, func() { n.refreshed[dataCentre] = false })
	if dataCentre != n.self.DataCentre && n.queryRecord(dataCentre) {
		return
	}
	n.callPlatform(func() func() {
		r, version := n.f.Platform.get(limiter.RecordName(dataCentre))
		return func() {
			if dataCentre == n.self.DataCentre {
				n.step(limiter.RecordIn{Record: r, Version: version})
			} else if r != nil {
				n.storeRecord(dataCentre, r, version)
			}
		}
	}, func() {})
}

// queryRecord requests the record of a data centre from one of its live VMs. It returns false if none
// of them has the record.
func (n *node) queryRecord(dataCentre string) bool {
	for _, m := range n.currentView().Members {
		to := n.f.nodes[m.VM.Name]
		if m.DataCentre != dataCentre || m.State != membership.Alive || to.records[dataCentre] == nil {
			continue
		}
		return n.sendTo(m.VM, Control, dataCentre, func(to *node) {
			rec, version := to.records[dataCentre], to.versions[dataCentre]
			body := []byte{}
			if version > n.versions[dataCentre] {
				body = rec.Encode()
			}
			to.sendTo(n.self.VM, Control, body, func(back *node) { back.storeRecord(dataCentre, rec, version) })
		})
	}
	return false
}

func (r *request) handleStatus(dataCentre string, reply limiter.ReserveReply) {
	switch reply.Status {
	case limiter.StatusUnreachable, limiter.StatusNotHolder:
		r.node.refreshRecord(dataCentre)
	case limiter.StatusNoPlan:
	default:
		r.node.hints.Update(r.node.f.Now, r.Workspace, dataCentre, reply.Balance)
	}
}

// serve passes a request to the state machine and records the resulting grant.
func (n *node) serve(from *node, msg *limiter.ReserveRequest, reply func(limiter.ReserveReply)) {
	n.nextCall++
	n.pendingReserves[n.nextCall] = func(out limiter.ReserveReply) {
		id := grantID{from.self.VM, msg.Seq}
		if out.Granted > 0 && n.f.grants[id] == nil {
			g := &Grant{At: n.f.Now, Tokens: out.Granted}
			n.f.grants[id] = g
			c := n.f.Checker(msg.Workspace)
			c.grants = append(c.grants, g)
		}
		reply(out)
	}
	n.step(limiter.ReserveIn{Call: n.nextCall, From: from.self.VM, Req: *msg})
}

// useGrants confirms tentative grants, records how many tokens of each grant are used, and settles the
// grants when the request ends.
func (r *request) useGrants() {
	n := r.node
	used := r.acquisition.SplitUsage(r.Used)
	for i, p := range r.acquisition.Grants {
		s := r.sent[p.Ref]
		n.f.grants[grantID{n.self.VM, s.seq}].Used = used[i]
		if p.Tentative() {
			n.settlements[s.holder] = append(n.settlements[s.holder], limiter.Settlement{Workspace: r.Workspace, Seq: s.seq, Used: limiter.ConfirmTentative})
		}
	}
	n.f.schedule(r.Duration, func() {
		n.runOrDefer(func() {
			for i, p := range r.acquisition.Grants {
				s := r.sent[p.Ref]
				n.settlements[s.holder] = append(n.settlements[s.holder], limiter.Settlement{Workspace: r.Workspace, Seq: s.seq, Used: used[i]})
			}
		})
	})
}

func (r *request) finish(admitted bool) {
	c := r.node.f.Checker(r.Workspace)
	switch {
	case admitted:
		c.Admitted++
		c.Latency = append(c.Latency, r.node.f.Now.Sub(r.arrivedAt))
	case r.referenceAdmits:
		c.Refused++
		c.WronglyRefused++
	default:
		c.Refused++
	}
	if r.Done != nil {
		r.Done(admitted)
	}
}

// runBaseline decides on the request with the static or home policy. Message faults are not simulated.
func (r *request) runBaseline() {
	f := r.node.f
	target, shares := r.node, int64(1)
	if f.Policy == limiter.PolicyStatic {
		shares = 0
		for _, m := range r.node.currentView().Members {
			if m.State == membership.Alive {
				shares++
			}
		}
	} else if owner, ok := r.node.currentView().Owner(r.Workspace, func(membership.Member) bool { return true }); ok {
		target = f.nodeOf(owner.VM)
	}
	delay := 2 * f.delay(r.node, target)
	if target.dead || target.paused {
		f.schedule(callTimeout, func() { r.finish(false) })
		return
	}
	plan, _ := limiter.PlanLimit(&target.snapshot.Document, r.Workspace)
	l := limiter.Limit{Rate: plan.Rate / shares, Burst: plan.Burst / shares}
	b := target.localBuckets[r.Workspace]
	if b == nil {
		b = newReferenceBucket(f.Now, l)
		target.localBuckets[r.Workspace] = b
	}
	b.limit = l
	c := b.take(f.Now, r.Tokens)
	if c != nil {
		g := &Grant{At: f.Now, Tokens: r.Tokens, Used: r.Used}
		checker := f.Checker(r.Workspace)
		checker.grants = append(checker.grants, g)
		f.schedule(r.Duration, func() { c.settle(r.Used) })
	}
	f.schedule(delay, func() { r.finish(c != nil) })
}
