package dispatch_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// lookingBackend is a backend whose VM is paused between the start of a request and the last look at it.
type lookingBackend struct {
	fakeBackend
	// paused is called for each request before the last look, with the number of looks before.
	paused func(n int, req backend.Request)
	looks  int
	// left is the time that the endpoints were told, in order.
	left []time.Duration
}

func (f *lookingBackend) look(req backend.Request) error {
	f.looks++
	if f.paused != nil {
		f.paused(f.looks, req)
	}
	left, err := req.LastLook()
	if err != nil {
		return &backend.SendError{Err: err}
	}
	f.left = append(f.left, left)
	return nil
}

func (f *lookingBackend) Run(ctx context.Context, req backend.Request) (*backend.Response, error) {
	if err := f.look(req); err != nil {
		return nil, err
	}
	return f.fakeBackend.Run(ctx, req)
}

func (f *lookingBackend) Prefill(ctx context.Context, req backend.Request) (backend.Handle, error) {
	if err := f.look(req); err != nil {
		return backend.Handle{}, err
	}
	return f.fakeBackend.Prefill(ctx, req)
}

// lookingVM is a VM with a lookingBackend.
type lookingVM struct {
	*lookingBackend
	now       clock.Clock
	scheduler *schedule.Scheduler
	admission *admission.Controller
	*dispatch.Dispatcher
	services map[string]*traffic.Service
	// lost are the endpoints to which the VM has lost its path.
	lost []traffic.EndpointID
}

func newLookingVM() *lookingVM {
	vm := &lookingVM{lookingBackend: &lookingBackend{}, now: clock.NewMonotonic()}
	cfg := testConfiguration()
	vm.services = cfg.Services
	vm.scheduler = schedule.New(schedule.Options{
		Clock: vm.now, DataCentre: "a", Seed: 7, DrainTime: 2 * time.Second,
		OnPath: func(c schedule.PathChange) { vm.lost = append(vm.lost, c.Endpoint) },
	})
	vm.scheduler.UpdateEndpoints(testEndpoints(), cfg.Services)
	time.Sleep(time.Minute) // the first windows of the controller include time before its start
	vm.admission = admission.NewController(vm.now, testRetryBudget, admission.PlanOptions{Window: 8 * time.Second}, 1, nil)
	time.Sleep(time.Minute)
	vm.Dispatcher = newTestDispatcher(vm.now, cfg, vm.scheduler, vm.lookingBackend, func(o *dispatch.Options) { o.Admission = vm.admission })
	return vm
}

func (vm *lookingVM) serve(t *testing.T, path string) (*recordingSink, error) {
	call, out := newCall(path), &recordingSink{}
	call.ArrivedAt = vm.now.Now()
	call.Deadline = call.ArrivedAt.Add(5 * time.Second)
	return out, vm.Serve(t.Context(), call, out)
}

// list lists an endpoint as leaving.
func (vm *lookingVM) listLeaving(name string) {
	eps := testEndpoints()
	eps.Version = 2
	for i := range eps.List {
		eps.List[i].Leaving = eps.List[i].ID.Name == name
	}
	vm.scheduler.UpdateEndpoints(eps, vm.services)
}

// retriesLeft returns how many retries the budget of a service allows now, and uses them up.
func (vm *lookingVM) retriesLeft(service string) (n int) {
	for vm.admission.SpendRetry(service, 0) {
		n++
	}
	return n
}

var allPaths = []string{oncePath, repeatPath, streamPath, resumablePath}

// TestEndpointThatLeavesDuringAPauseGetsNoRequest guards against requests that reach an endpoint which began to leave while the VM was
// paused between the decision to send them there and the write, against retries that are counted for what was not sent, and against
// endpoints that count as unreachable because of it.
func TestEndpointThatLeavesDuringAPauseGetsNoRequest(t *testing.T) {
	for _, path := range allPaths {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm, left := newLookingVM(), ""
				service := newLookingVM().retriesLeft("plain")
				vm.paused = func(n int, req backend.Request) {
					if n == 1 {
						left = req.Endpoint.ID.Name
						vm.listLeaving(left)
					}
				}
				out, err := vm.serve(t, path)
				if err != nil || out.status != http.StatusOK {
					t.Errorf("status %d, error %v", out.status, err)
				}
				for _, s := range vm.sends {
					if s.endpoint == left {
						t.Errorf("%s at %s, which leaves", s.method, s.endpoint)
					}
				}
				if len(vm.lost) > 0 {
					t.Errorf("lost the paths to %v", vm.lost)
				}
				if got := vm.retriesLeft("plain"); path == repeatPath && got != service {
					t.Errorf("%d retries left, %d without the call", got, service)
				}
			})
		})
	}
}

// TestEndpointIsToldTheTimeThatIsLeftAtTheWrite guards against endpoints that are handed more time than the caller has, because the time
// was read before a wait or a pause.
func TestEndpointIsToldTheTimeThatIsLeftAtTheWrite(t *testing.T) {
	for _, path := range allPaths {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				vm := newLookingVM()
				vm.paused = func(n int, _ backend.Request) {
					if n == 1 {
						time.Sleep(200 * time.Millisecond)
					}
				}
				if _, err := vm.serve(t, path); err != nil {
					t.Error(err)
				}
				if len(vm.left) == 0 || vm.left[0] != 4800*time.Millisecond {
					t.Errorf("the endpoints were told %v", vm.left)
				}
			})
		})
	}
}

// jumpingClock is a clock that may jump ahead of all timers, as in a process that was paused.
type jumpingClock struct {
	clock.Clock
	ahead time.Duration
}

func (c *jumpingClock) Now() clock.Instant { return c.Clock.Now().Add(c.ahead) }

// TestCallWhoseTimeIsOverAfterAPauseIsNotSent guards against requests that run although the time of their callers was over, because a
// paused VM sends them before its timers have ended the call.
func TestCallWhoseTimeIsOverAfterAPauseIsNotSent(t *testing.T) {
	for _, path := range allPaths {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now, cfg, f := &jumpingClock{Clock: clock.NewMonotonic()}, testConfiguration(), &lookingBackend{}
				s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
				s.UpdateEndpoints(testEndpoints(), cfg.Services)
				time.Sleep(time.Minute)
				d := newTestDispatcher(now, cfg, s, f, nil)
				time.Sleep(time.Minute)
				f.paused = func(int, backend.Request) { now.ahead = 5 * time.Second }
				call := newCall(path)
				call.ArrivedAt = now.Now()
				call.Deadline = call.ArrivedAt.Add(5 * time.Second)
				err := d.Serve(t.Context(), call, &recordingSink{})
				if err == nil {
					t.Fatal("the call was served")
				}
				checkError(t, err, fault.Timeout, fault.ExecutionUnknown)
				if f.count("run")+f.count("prefill") > 0 || f.looks != 1 {
					t.Errorf("sent %v after %d looks", f.sends, f.looks)
				}
			})
		})
	}
}

// TestRetryIsCountedWhenItIsSent guards against retries of two windows that arrive in one, because those that were counted before a pause
// are sent after it beside those that are counted then, and against retries that stay counted though they were not sent.
func TestRetryIsCountedWhenItIsSent(t *testing.T) {
	for _, left := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			vm := newLookingVM()
			vm.run = func(n int, _ context.Context, _ backend.Request) (*backend.Response, error) {
				if n == 1 {
					return nil, connectionLost()
				}
				return reply(http.StatusOK, "x"), nil
			}
			vm.paused = func(n int, _ backend.Request) {
				if n != 2 {
					return
				}
				time.Sleep(2 * time.Second)
				if !left {
					vm.retriesLeft("plain") // by other calls
				}
			}
			_, err := vm.serve(t, repeatPath)
			if want := 2; left && (err != nil || vm.count("run") != want) || !left && vm.count("run") != 1 {
				t.Errorf("retries left %v: %d runs, error %v", left, vm.count("run"), err)
			}
		})
	}
}
