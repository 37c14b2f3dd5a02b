package connbudget

import "testing"

func TestConnectionsWhoseEndsAreUndoneStayWithinTheLimit(t *testing.T) {
	const limit, clients = 10, 100
	o := newOpened(t, 1<<30, limit)
	for range clients {
		a := o.budget.Open("callers", func() bool { return false })
		for ended := range o.budget.accounts {
			if ended.ended && ended != a {
				ended.Serve() // its request had arrived
			}
		}
	}
	if n := len(o.budget.accounts); n > limit+limit/endingShare {
		t.Errorf("%d connections are open, want at most %d", n, limit+limit/endingShare)
	}
}

func TestHeadOfAConnectionWhoseEndIsUndoneStaysCounted(t *testing.T) {
	const head = 40 << 10
	o := newOpened(t, 1<<30, 1)
	a := o.open()
	if !a.Reserve(head) {
		t.Fatal("no room for a head")
	}
	o.open() // ends a
	if !a.Serve() {
		t.Fatal("the end of the connection was not undone")
	}
	before := o.budget.Used()
	if !a.Hold(head) || o.budget.Used() != before+head {
		t.Errorf("%d bytes are counted for the head, want %d", o.budget.Used()-before, head)
	}
}

func TestHeadOfAConnectionWhoseEndIsUndoneIsRefusedWithoutRoom(t *testing.T) {
	const head = 40 << 10
	o := newOpened(t, 4*ConnectionBytes, 1)
	a := o.open()
	o.open() // ends a
	if !a.Serve() {
		t.Fatal("the end of the connection was not undone")
	}
	if a.Hold(head) {
		t.Error("a head beyond the budget found room")
	}
}
