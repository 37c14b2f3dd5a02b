package statesync

import (
	"net"
	"testing"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/peer"
)

// restarting is a VM that does not know the usage in the plan window.
type restarting struct {
	*node
	adopted chan admission.WindowState
}

func (r *restarting) NeedsWindow() bool                       { return len(r.adopted) == 0 }
func (r *restarting) AdoptWindow(state admission.WindowState) { r.adopted <- state }

// informed is a VM that knows it.
type informed struct{ *node }

func (informed) WindowState() (admission.WindowState, bool) {
	return admission.WindowState{Buckets: map[string][]int64{"w": {5, 0, 7}}}, true
}

// TestRestartedVMAdoptsPlanWindow checks that a VM that has just listed the others asks them for
// the usage in the plan window, without waiting for their heartbeats, and that it asks on while
// those it knows do not know it either.
func TestRestartedVMAdoptsPlanWindow(t *testing.T) {
	var members []Member
	var listeners []net.Listener
	for i := range 3 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := member(i+1, 1, "a")
		m.Address = ln.Addr().(*net.TCPAddr).AddrPort()
		members, listeners = append(members, m), append(listeners, ln)
	}
	startNode(t, members[0], listeners[0], nil) // knows as little as the restarted one
	r := &restarting{node: newNode(), adopted: make(chan admission.WindowState, windowSources*4)}
	r.Service = New(Options{
		Self: members[2], Clock: clock.BootTime{}, Transport: peer.New(peer.Options{Self: members[2].VM}),
		Registry: r, Work: r, Plans: r, Documents: r, Quarantine: newQuarantine(), Origins: newOrigins(), Log: zap.NewNop(),
	})
	runNode(t, r.node, listeners[2])
	r.addMembers(members[:1])
	i := informed{newNode()}
	i.Service = New(Options{
		Self: members[1], Clock: clock.BootTime{}, Transport: peer.New(peer.Options{Self: members[1].VM}),
		Registry: i, Work: i, Plans: i, Documents: i, Quarantine: newQuarantine(), Origins: newOrigins(), Log: zap.NewNop(),
	})
	runNode(t, i.node, listeners[1])
	r.addMembers(members[1:2])
	state := <-r.adopted
	if got := state.Buckets["w"]; len(got) != 3 || got[2] != 7 {
		t.Errorf("adopted %v, want [5 0 7]", got)
	}
}
