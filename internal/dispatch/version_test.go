package dispatch_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/origin"
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

// serveVersions serves a resumable stream among endpoints, to whose entries change may be made, and returns what the
// backend received. The call is one that resumes a stream if o is set.
func serveVersions(t *testing.T, seed uint64, endpoints traffic.Endpoints, o *traffic.StreamOrigin) (f *fakeBackend, took time.Duration, err error) {
	f = &fakeBackend{run: func(_ int, _ context.Context, req backend.Request) (*backend.Response, error) {
		r := reply(200, events(1, 3))
		if req.LastEventID == "1" {
			r = reply(200, events(2, 3))
		}
		r.EventStream, r.Delimited = true, true
		return r, nil
	}}
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: seed})
		s.UpdateEndpoints(endpoints, cfg.Services)
		origins := origin.NewController(origin.Options{Clock: now, Log: zap.NewNop(), Metrics: metrics.NewSet()})
		origins.SetEndpoints(endpoints.List)
		time.Sleep(time.Minute)
		d := newTestDispatcher(now, cfg, s, f, func(opts *dispatch.Options) { opts.Origins = origins })
		time.Sleep(time.Minute)
		call := newCall(resumablePath)
		if o != nil {
			call.LastEventID, call.Resumes = "1", "first"
			if o.Service != "" {
				origins.AddRecords([]origin.Record{{Key: origin.NewKey("w", "first"), Origin: *o, Left: time.Minute}})
			}
		}
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		err = d.Serve(t.Context(), call, &recordingSink{})
		took = now.Now().Sub(call.ArrivedAt)
	})
	return f, took, err
}

func TestPromptIsPrefilledByTheVersionThatDecodesIt(t *testing.T) {
	for seed := range uint64(20) {
		endpoints := mixedEndpoints("v1", "v2", "v3")
		versions := map[string]string{"prefill1": "v1", "prefill2": "v2"} // v3 has no prefill engine
		for i, e := range endpoints.List {
			if version := versions[e.ID.Name]; version != "" {
				endpoints.List[i].SoftwareVersion = version
			}
			versions[e.ID.Name] = endpoints.List[i].SoftwareVersion
		}
		f, _, err := serveVersions(t, seed, endpoints, nil)
		if err != nil || f.count("run") != 1 {
			t.Fatalf("seed %d: error %v, sends %v", seed, err, f.sends)
		}
		decode := versions[f.sends[len(f.sends)-1].endpoint]
		for _, send := range f.sends {
			if versions[send.endpoint] != decode {
				t.Errorf("seed %d: sends %v, of versions %s and %s", seed, f.sends, versions[send.endpoint], decode)
			}
		}
		if wantPrefill := decode != "v3"; (f.count("prefill") == 1) != wantPrefill {
			t.Errorf("seed %d: %d prefills for an engine of %s", seed, f.count("prefill"), decode)
		}
	}
}

func TestStreamThatCannotContinueIsRefusedAtOnce(t *testing.T) {
	for _, tc := range []struct {
		name      string
		endpoints traffic.Endpoints
		origin    traffic.StreamOrigin
	}{
		{"no engine of its version is left", mixedEndpoints("v2"), traffic.StreamOrigin{Service: "engines", Version: "v1"}},
		{"its origin is unknown", mixedEndpoints("v1", "v2"), traffic.StreamOrigin{}},
		{"its service is not on the route", mixedEndpoints("v1"), traffic.StreamOrigin{Service: "plain", Version: "v1"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f, took, err := serveVersions(t, 1, tc.endpoints, &tc.origin)
			checkError(t, err, fault.Unavailable, fault.NotExecuted)
			if len(f.sends) > 0 || took > 0 || fault.DetailOf(err).RetryAfter <= 0 {
				t.Errorf("after %v, sends %v, retry after %v", took, f.sends, fault.DetailOf(err).RetryAfter)
			}
		})
	}
}

func TestResumedStreamContinuesWhileItsVersionServes(t *testing.T) {
	for seed := range uint64(20) {
		f, _, err := serveVersions(t, seed, mixedEndpoints("v1", "v2", "v1"), &traffic.StreamOrigin{Service: "engines", Version: "v1"})
		if err != nil || f.count("run") != 1 || f.sends[len(f.sends)-1].endpoint == "decode2" {
			t.Errorf("seed %d: error %v, sends %v", seed, err, f.sends)
		}
	}
}
