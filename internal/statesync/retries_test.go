package statesync

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// budgeted is a node with a retry budget of its own.
type budgeted struct {
	*node
	admission *admission.Controller
}

func (b budgeted) RetriesShort() <-chan struct{}         { return b.admission.RetriesShort() }
func (b budgeted) TakeRetryNeeds() []admission.RetryNeed { return b.admission.TakeRetryNeeds() }
func (b budgeted) GrantRetries(service string, amount float64) float64 {
	return b.admission.GrantRetries(service, amount)
}

func (b budgeted) AddRetryGrant(service string, amount float64, sentAt clock.Instant) {
	b.admission.AddRetryGrant(service, amount, sentAt)
	b.record(func() {})
}

func (b budgeted) SetFleetShares(s admission.FleetShares) {
	b.admission.SetFleetShares(s)
	b.node.record(func() {})
}

func newBudgeted(m Member, vms int) budgeted {
	budget := admission.RetryBudget{Window: 10 * time.Second, Slack: 20}
	c := admission.NewController(clock.BootTime{}, budget, admission.PlanOptions{Window: time.Second}, vms, nil)
	c.SetFirstStart()
	b := budgeted{newNode(), c}
	b.Service = New(Options{
		Self: m, Clock: clock.BootTime{}, Transport: peer.New(peer.Options{Self: m.VM}), Registry: b, Work: b, Plans: b, Documents: b,
		Quarantine: newQuarantine(), Origins: newOrigins(), Log: zap.NewNop(),
	})
	return b
}

func startBudgeted(t *testing.T, m Member, ln net.Listener, listed []Member) budgeted {
	b := newBudgeted(m, len(listed)+1)
	runNode(t, b.node, ln)
	b.addMembers(listed)
	return b
}

// awaitLive waits until a node hears the other one and knows its share of the slack.
func (b budgeted) awaitLive() {
	for len(b.retryLenders()) == 0 || b.admission.RetryState("s").Share != 0.5 {
		<-b.changed
	}
}

// TestVMBorrowsRetriesOfAnother guards against retries that are refused at one VM while another one does not need its part, and against
// parts that both use.
func TestVMBorrowsRetriesOfAnother(t *testing.T) {
	members, listeners := listenAsTwo(t)
	var nodes []budgeted
	for i := range members {
		nodes = append(nodes, startBudgeted(t, members[i], listeners[i], members[1-i:2-i]))
	}
	for _, n := range nodes {
		n.awaitLive()
	}
	sent := 0
	for sent < 13 { // 0.7 of the slack is 14; the own part is 7
		if nodes[0].admission.SpendRetry("s", 0) {
			sent++
			continue
		}
		<-nodes[0].changed
	}
	if left := nodes[1].admission.RetryState("s").Own; left > 1 {
		t.Errorf("the VM that granted retries has %.1f left of its own part", left)
	}
}

// TestVMHasItsShareOfTheSlackOnceItHasListedTheFleet guards against retries that are refused until the next heartbeat after the start.
func TestVMHasItsShareOfTheSlackOnceItHasListedTheFleet(t *testing.T) {
	self := member(1, 1, "a")
	b := newBudgeted(self, 8)
	if got := b.admission.RetryState("s").Share; got != 0 {
		t.Errorf("share %.2f before the registry was listed, want none", got)
	}
	b.addMembers([]Member{self})
	if got := b.admission.RetryState("s").Share; got != 1 {
		t.Errorf("share %.2f of a VM that is alone, want 1", got)
	}
}

// TestVMOfFormerBuildGrantsNothing guards against a part that is used although nobody has counted it.
func TestVMOfFormerBuildGrantsNothing(t *testing.T) {
	members, listeners := listenAsTwo(t)
	n := startBudgeted(t, members[0], listeners[0], members[1:])
	former := peer.New(peer.Options{Self: ident.VM{Name: "former"}})
	go func() { _ = former.Serve(listeners[1]) }()
	t.Cleanup(former.Close)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	n.requestRetries(ctx, members[1].Address, "s", 5)
	if got := n.admission.RetryState("s").Borrowed; got != 0 {
		t.Errorf("%v retries were borrowed", got)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if _, refused := n.refusedRetries[members[1].Address]; !refused {
		t.Error("the VM of the former build is asked again at once")
	}
}

// TestShareOfSlackCountsAllThatMayHaveSentRetries guards against parts that grow while retries of VMs that ended, or are behind a
// partition, are in the window, and against a VM that takes itself to be the only one.
func TestShareOfSlackCountsAllThatMayHaveSentRetries(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	silent, leaving := member(2, 1, "a"), member(3, 1, "b")
	table.applyHeartbeat(start(), &heartbeat{From: silent})
	table.applyHeartbeat(start(), &heartbeat{From: leaving})
	table.applyHeartbeat(start(), &heartbeat{From: leaving, Leaving: true})
	table.expire(start().Add(removeAfter + time.Second))
	if got := table.slackShare(true); got != 1.0/3 {
		t.Errorf("share %.2f, want a third", got)
	}
	if got := table.slackShare(false); got != 0 {
		t.Errorf("share %.2f before the registry was listed, want none", got)
	}
	table.applyHeartbeat(start().Add(removeAfter+2*time.Second), &heartbeat{From: member(2, 2, "a")})
	if got := table.slackShare(true); got != 1.0/3 {
		t.Errorf("share %.2f after a restart, want a third", got)
	}
}

// TestVMThatLeftIsNotListedAgain guards against a VM that counts as silent because it has kept its registry entry.
func TestVMThatLeftIsNotListedAgain(t *testing.T) {
	table := newMemberTable(member(1, 1, "a"))
	leaving := member(2, 1, "a")
	table.applyHeartbeat(start(), &heartbeat{From: leaving})
	table.applyHeartbeat(start(), &heartbeat{From: leaving, Leaving: true})
	if added, lost := table.addListed(start(), []Member{leaving}); len(added)+len(lost) > 0 {
		t.Errorf("added %v, lost %v", added, lost)
	}
	if added, _ := table.addListed(start(), []Member{member(2, 2, "a")}); len(added) != 1 {
		t.Error("its next process was not added")
	}
}

// TestVMThatLeavesSoonAfterItsStartKeepsItsEntry guards against starts in a row of which the registry tells nothing.
func TestVMThatLeavesSoonAfterItsStartKeepsItsEntry(t *testing.T) {
	r := &withdrawals{}
	for _, startMatters := range []bool{true, false} {
		n := &leavingNode{node: newNode(), startMatters: startMatters}
		self := member(1, 1, "a")
		s := New(Options{
			Self: self, Clock: clock.BootTime{}, Transport: peer.New(peer.Options{Self: self.VM}), Registry: r, Work: n, Plans: n, Documents: n,
			Quarantine: newQuarantine(), Origins: newOrigins(), Log: zap.NewNop(),
		})
		r.n = 0
		s.Leave(t.Context())
		if withdrawn := r.n > 0; withdrawn == startMatters {
			t.Errorf("start matters: %v, entry withdrawn: %v", startMatters, withdrawn)
		}
	}
}

type leavingNode struct {
	*node
	startMatters bool
}

func (n *leavingNode) StartMatters() bool { return n.startMatters }

// withdrawals counts the entries that are withdrawn.
type withdrawals struct {
	Registry
	n int
}

func (w *withdrawals) Deregister(context.Context, Member) error {
	w.n++
	return nil
}
