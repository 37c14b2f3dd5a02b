package vmserver

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/statesync"
)

// countingHandler counts the calls in progress.
type countingHandler struct {
	fakeHandler
	active *atomic.Int64
}

func (h countingHandler) Active() int64 { return h.active.Load() }

// newHangingProcess returns a process whose registry does not respond.
func newHangingProcess(grace time.Duration) *Process {
	p := newTestProcess(nil)
	p.settings.GraceTime = grace
	p.stateSync = statesync.New(statesync.Options{
		Clock: clock.NewMonotonic(), Transport: peer.New(peer.Options{}), Registry: hangingRegistry{}, Work: p.scheduler, Plans: p.admission,
		Documents: p.State, Quarantine: p.quarantine, Log: zap.NewNop(),
	})
	return p
}

// TestStopCutsNoCallWhileTheRegistryHangs guards against a stop that takes calls until its grace time is over, because the
// registry does not respond, and then cuts them, or has no time left for its connections to other VMs.
func TestStopCutsNoCallWhileTheRegistryHangs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			callTime   = time.Second
			callPeriod = callTime / 5
		)
		p := newHangingProcess(8 * time.Second)
		var active atomic.Int64
		p.Handler = countingHandler{active: &active}
		l := serveCallers(p, func(http.ResponseWriter, *http.Request) {
			active.Add(1)
			defer active.Add(-1)
			time.Sleep(callTime)
		})
		var calls sync.WaitGroup
		calls.Go(func() {
			for n := 0; ; n++ {
				caller, accepted := net.Pipe()
				select {
				case l.conns <- accepted:
				case <-l.closed:
					return
				}
				calls.Go(func() {
					defer func() { _ = caller.Close() }()
					_, err := fmt.Fprint(caller, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
					if err == nil {
						_, err = http.ReadResponse(bufio.NewReader(caller), nil)
					}
					if err != nil {
						t.Errorf("the call %v after the start of the stop got no answer: %v", time.Duration(n)*callPeriod, err)
					}
				})
				time.Sleep(callPeriod)
			}
		})
		if deadline := p.stop(); !time.Now().Before(deadline) {
			t.Error("the stop has used up its time")
		}
		if n := active.Load(); n > 0 {
			t.Errorf("%d calls in progress are cut as the process ends", n)
		}
		calls.Wait()
		p.wg.Wait()
	})
}

// TestStoppingVMOffersNoRoom guards against other VMs that choose a VM for their requests while it is being stopped.
func TestStoppingVMOffersNoRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newHangingProcess(8 * time.Second)
		if p.forwarded.Room() == 0 {
			t.Fatal("no room before the stop")
		}
		serveCallers(p, http.NotFound)
		stopped := make(chan struct{})
		go func() {
			defer close(stopped)
			p.stop()
		}()
		synctest.Wait()
		if room := p.forwarded.Room(); room > 0 {
			t.Errorf("room for %d requests of other VMs after SIGTERM", room)
		}
		<-stopped
		p.wg.Wait()
	})
}

// TestStopIsOverWithinTheGraceTimeOfItsSignal guards against calls that are cut off by the platform, at the end of the grace time, because
// the signal came during a pause and was handled late.
func TestStopIsOverWithinTheGraceTimeOfItsSignal(t *testing.T) {
	const grace = 8 * time.Second
	for late := time.Duration(0); late <= 2600*time.Millisecond; late += 100 * time.Millisecond {
		if took := late + stopTime(grace, late); took > grace-stopMargin {
			t.Errorf("handled %v late, the stop ends %v after its signal, the grace time is %v", late, took, grace)
		}
	}
	for _, grace := range []time.Duration{2 * time.Second, grace} {
		if got := stopTime(grace, 0); got != grace-stopMargin {
			t.Errorf("grace time %v: a stop that is not late has %v", grace, got)
		}
		if got := stopTime(grace, time.Hour); got <= 0 || got > grace-stopMargin {
			t.Errorf("grace time %v: a very late stop has %v", grace, got)
		}
	}
}
