package dispatch_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// crashingBody is the body of the request under which fake endpoints crash before they answer.
const crashingBody = "crashes"

// crashingFleet is a backend whose endpoints crash under a request and start again a while later.
type crashingFleet struct {
	fakeBackend
	clock     clock.Clock
	endpoints traffic.Endpoints

	mu sync.Mutex
	// downUntil is when a crashed endpoint starts again. A connection to it is refused until then.
	downUntil map[traffic.EndpointID]clock.Instant
	crashes   int
}

const crashedFor = 3 * time.Second

func (f *crashingFleet) Connect(_ context.Context, e traffic.Endpoint) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, down := f.downUntil[e.ID]; down {
		return syscall.ECONNREFUSED
	}
	return nil
}

func (f *crashingFleet) serve(_ int, _ context.Context, req backend.Request) (*backend.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	id := req.Endpoint.ID
	if _, down := f.downUntil[id]; down {
		return nil, &backend.SendError{Err: syscall.ECONNREFUSED}
	}
	if string(req.Call.Body) != crashingBody {
		return reply(http.StatusOK, events(1, 3)), nil
	}
	f.crashes++
	f.downUntil[id] = f.clock.Now().Add(crashedFor)
	return nil, &backend.SendError{Sent: true, Err: io.ErrUnexpectedEOF}
}

// restart starts the crashed endpoints whose time has come as new instances.
func (f *crashingFleet) restart() traffic.Endpoints {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for i, e := range f.endpoints.List {
		if until, down := f.downUntil[e.ID]; down && !now.Before(until) {
			f.endpoints.List[i].ID.StartedAt = int64(now)
		}
	}
	return f.endpoints
}

func TestRequestThatCrashesEndpointsIsNoLongerSent(t *testing.T) {
	const (
		length             = 50 * time.Second
		crashesToNotice    = 3
		maxSendsAfterwards = 3
	)
	for _, path := range []string{repeatPath, oncePath, streamPath, resumablePath} {
		t.Run(path, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				now := clock.NewMonotonic()
				cfg := testConfiguration()
				cfg.RequiresKey = false // the harmless calls together are over the plan of the key
				f := &crashingFleet{clock: now, endpoints: testEndpoints(), downUntil: map[traffic.EndpointID]clock.Instant{}}
				f.run = f.serve
				s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
				d := newTestDispatcher(now, cfg, s, f, nil)
				ctx, stop := context.WithCancel(t.Context())
				go d.Run(ctx)
				serve := func(id int, body string) error {
					call := newCall(path)
					call.ID, call.Body, call.ArrivedAt = fmt.Sprint(id), []byte(body), now.Now()
					call.Deadline = call.ArrivedAt.Add(time.Second)
					return d.Serve(t.Context(), call, &recordingSink{})
				}
				harmless, harmlessServed := 0, 0
				for i := 0; now.Now() < clock.Instant(length); i++ {
					s.UpdateEndpoints(f.restart(), cfg.Services)
					_ = serve(2*i, crashingBody)
					synctest.Wait()
					if now.Now() > clock.Instant(length/2) {
						harmless++
						if serve(2*i+1, "harmless") == nil {
							harmlessServed++
						}
					}
					time.Sleep(500 * time.Millisecond)
				}
				if f.crashes < crashesToNotice || f.crashes > crashesToNotice+maxSendsAfterwards {
					t.Errorf("%d endpoints crashed, want %d and at most %d more", f.crashes, crashesToNotice, maxSendsAfterwards)
				}
				if harmlessServed != harmless {
					t.Errorf("%d of %d harmless calls were served after the crashes", harmlessServed, harmless)
				}
				stop()
				synctest.Wait()
			})
		})
	}
}
