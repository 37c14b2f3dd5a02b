package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// mixedEndpoints returns test endpoints whose decode engines run versions in turn.
func mixedEndpoints(versions ...string) traffic.Endpoints {
	e := testEndpoints()
	n := 0
	for i := range e.List {
		if e.List[i].Stage == traffic.Decode {
			e.List[i].SoftwareVersion = versions[n%len(versions)]
			n++
		}
	}
	return e
}

// serveMixed serves a resumable stream whose first engine ends after two events, and returns the versions of the engines
// that it was sent to.
func serveMixed(t *testing.T, seed uint64, endpoints traffic.Endpoints) (versions []string, body string, err error) {
	f := &fakeBackend{run: func(n int, _ context.Context, req backend.Request) (*backend.Response, error) {
		versions = append(versions, req.Endpoint.SoftwareVersion)
		if n == 1 {
			r := truncated(events(1, 2))
			r.EventStream = true
			return r, nil
		}
		r := reply(200, events(3, 3))
		r.EventStream, r.Delimited = true, true
		return r, nil
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg, out := clock.NewMonotonic(), testConfiguration(), &recordingSink{}
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: seed})
		s.UpdateEndpoints(endpoints, cfg.Services)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, func(*dispatch.Options) {})
		time.Sleep(time.Minute)
		call := newCall(resumablePath)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		err = d.Serve(t.Context(), call, out)
		body = out.body.String()
	})
	return versions, body, err
}

func TestStreamContinuesOnlyAtItsVersion(t *testing.T) {
	for seed := range uint64(20) {
		versions, body, err := serveMixed(t, seed, mixedEndpoints("v1", "v2", "v1"))
		if len(versions) > 1 && versions[0] != versions[1] {
			t.Errorf("seed %d: the stream began at %s and continued at %s", seed, versions[0], versions[1])
		}
		if versions[0] == "v1" && (err != nil || body != events(1, 3)) {
			t.Errorf("seed %d: body %q, error %v, although another engine of its version is up", seed, body, err)
		}
	}
}
