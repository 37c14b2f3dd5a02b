package connbudget

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// opened are accounts whose ends are recorded.
type opened struct {
	t      *testing.T
	budget *Budget
	ended  map[*Account]bool
}

func newOpened(t *testing.T, bytes int64, connections int) *opened {
	return &opened{t: t, ended: map[*Account]bool{}, budget: New(Options{Bytes: bytes, Connections: connections, Log: zap.NewNop(), Metrics: metrics.NewSet()})}
}

func (o *opened) open() *Account {
	o.t.Helper()
	var a *Account
	a = o.budget.Open("callers", func() bool {
		o.ended[a] = true
		return false
	})
	if a == nil {
		o.t.Fatal("no room for a connection")
	}
	return a
}

func TestLargestUnfinishedHeadEndsFirst(t *testing.T) {
	o := newOpened(t, 4*ConnectionBytes+200<<10, 10)
	oldest, large, larger := o.open(), o.open(), o.open()
	if !large.Reserve(80<<10) || !larger.Reserve(100<<10) {
		t.Fatal("no room for two heads")
	}
	ordinary := o.open()
	if !ordinary.Reserve(40 << 10) {
		t.Error("a small head found no room beside large ones")
	}
	if !o.ended[larger] || o.ended[large] || o.ended[oldest] {
		t.Error("not the largest head was ended")
	}
}

func TestLargestHeadIsRefusedItself(t *testing.T) {
	o := newOpened(t, 2*ConnectionBytes+100<<10, 10)
	other, large := o.open(), o.open()
	if !large.Reserve(90<<10) || large.Reserve(20<<10) {
		t.Error("a head beyond the budget found room")
	}
	if o.ended[other] {
		t.Error("a small connection was ended for the largest head")
	}
}

func TestConnectionWithACallInProgressIsNeverEnded(t *testing.T) {
	o := newOpened(t, 1<<30, 2)
	serving, waiting := o.open(), o.open()
	serving.Serve()
	o.open()
	if o.ended[serving] || !o.ended[waiting] {
		t.Error("not the waiting connection was ended")
	}
}

func TestConnectionIsRefusedIfAllAreServing(t *testing.T) {
	o := newOpened(t, 1<<30, 1)
	o.open().Serve()
	if o.budget.Open("callers", func() bool { return false }) != nil {
		t.Error("a connection beyond the limit was accepted")
	}
}

func TestLongestWaitingConnectionEndsFirst(t *testing.T) {
	o := newOpened(t, 3*ConnectionBytes, 10)
	first, second, third := o.open(), o.open(), o.open()
	first.Serve()
	first.Wait()
	o.open()
	if !o.ended[second] || o.ended[first] || o.ended[third] {
		t.Error("not the connection that has waited longest was ended")
	}
}

func TestClosedConnectionsGiveBackAllTheyHeld(t *testing.T) {
	o := newOpened(t, 3*ConnectionBytes, 2)
	a, b := o.open(), o.open()
	c := o.open() // ends a
	for _, account := range []*Account{a, b, c, a} {
		account.Close()
	}
	if used := o.budget.Used(); used != 0 || o.budget.ending != 0 || len(o.budget.accounts) != 0 {
		t.Errorf("%d bytes, %d ending, %d accounts are left", used, o.budget.ending, len(o.budget.accounts))
	}
}

func TestRequestThatArrivedBeforeItsConnectionEndedIsServed(t *testing.T) {
	o := newOpened(t, 1<<30, 1)
	first := o.open()
	o.open()
	if !o.ended[first] || !first.Serve() {
		t.Fatal("the end of the connection was not undone")
	}
	if first.Reserve(1) != true || o.budget.ending != 0 {
		t.Error("the connection still counts as ended")
	}
}

func TestConnectionMayEndWhileABodyArrives(t *testing.T) {
	o := newOpened(t, 1<<30, 1)
	slow := o.open()
	slow.Serve()
	slow.MayEnd()
	o.open()
	if !o.ended[slow] {
		t.Error("a body without end kept its connection")
	}
}
