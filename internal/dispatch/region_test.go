package dispatch_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/dispatch"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// spreadEndpoints returns the test endpoints, each with the given data centre, by name; those not named are in a.
func spreadEndpoints(dataCentres map[string]string) traffic.Endpoints {
	e := testEndpoints()
	for i := range e.List {
		if dataCentre := dataCentres[e.List[i].ID.Name]; dataCentre != "" {
			e.List[i].DataCentre = dataCentre
		}
	}
	e.EvacuationsKnown = true
	return e
}

// inBubble serves a call with the given regions of its route and workspace, a backend and a scheduler.
func inBubble(t *testing.T, e traffic.Endpoints, route, workspace []string, call *traffic.Call, f func(s *schedule.Scheduler, cfg *traffic.Configuration) *fakeBackend) (b *fakeBackend, took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		now, cfg := clock.NewMonotonic(), testConfiguration()
		for _, r := range cfg.Routes() {
			r.HomeRegions = route
		}
		cfg.WorkspaceByKey("key").HomeRegions = workspace
		s := schedule.New(schedule.Options{Clock: now, DataCentre: "a", Seed: 7})
		s.SetRegions(map[string]string{"a": "north", "b": "south", "c": "west"})
		s.UpdateEndpoints(e, cfg.Services)
		time.Sleep(time.Minute)
		b = f(s, cfg)
		d := newTestDispatcher(now, cfg, s, b, func(*dispatch.Options) {})
		time.Sleep(time.Minute)
		ctx, stop := context.WithCancel(t.Context())
		go d.Run(ctx)
		call.ArrivedAt = now.Now()
		call.Deadline = call.ArrivedAt.Add(5 * time.Second)
		err = d.Serve(t.Context(), call, &recordingSink{})
		took = now.Now().Sub(call.ArrivedAt)
		synctest.Wait()
		stop()
		synctest.Wait()
	})
	return b, took, err
}

func noBehaviour(*schedule.Scheduler, *traffic.Configuration) *fakeBackend { return &fakeBackend{} }

// TestHomeRegions guards against calls that are run outside the regions which both their route and their workspace allow.
func TestHomeRegions(t *testing.T) {
	two := spreadEndpoints(map[string]string{"plain2": "b", "prefill2": "b", "decode2": "b"})
	three := spreadEndpoints(map[string]string{"plain2": "b", "prefill2": "b", "decode2": "b", "plain3": "c", "decode3": "c"})
	for _, tc := range []struct {
		name             string
		endpoints        traffic.Endpoints
		route, workspace []string
		want             map[string][]string // data centres that may get requests, by route; nil for a refusal
	}{
		{"route", two, []string{"south"}, nil, map[string][]string{oncePath: {"b"}, streamPath: {"b"}}},
		{"workspace", two, nil, []string{"south"}, map[string][]string{oncePath: {"b"}, streamPath: {"b"}}},
		{"both", three, []string{"south", "west"}, []string{"north", "south"}, map[string][]string{oncePath: {"b"}, streamPath: {"b"}}},
		{"both, none in common", three, []string{"south"}, []string{"north"}, map[string][]string{oncePath: nil, streamPath: nil}},
		{"a route with an empty list", two, []string{}, nil, map[string][]string{oncePath: nil, streamPath: nil}},
		{"a workspace with an empty list", two, []string{"north"}, []string{}, map[string][]string{oncePath: nil, streamPath: nil}},
		{"no such region", two, []string{"east"}, nil, map[string][]string{oncePath: nil, streamPath: nil}},
		{"no endpoint there", two, nil, []string{"west"}, map[string][]string{oncePath: nil, streamPath: nil}},
		{"the decode engine of the region prefills", three, nil, []string{"west"}, map[string][]string{oncePath: {"c"}, streamPath: {"c"}}},
	} {
		for path, want := range tc.want {
			f, took, err := inBubble(t, tc.endpoints, tc.route, tc.workspace, newCall(path), noBehaviour)
			if want == nil {
				checkError(t, err, fault.Unavailable, fault.NotExecuted)
				if len(f.sends) > 0 || took > 0 || fault.DetailOf(err).RetryAfter <= 0 {
					t.Errorf("%s, %s: %d requests sent, refused after %s", tc.name, path, len(f.sends), took)
				}
				continue
			}
			if err != nil || len(f.sends) == 0 {
				t.Errorf("%s, %s: %d requests sent, error %v", tc.name, path, len(f.sends), err)
			}
			checkSends(t, tc.name+", "+path, f, tc.endpoints, want)
		}
	}
}

func checkSends(t *testing.T, name string, f *fakeBackend, e traffic.Endpoints, dataCentres []string) {
	t.Helper()
	for _, sent := range f.sends {
		for _, v := range e.List {
			if v.ID.Name == sent.endpoint && !slices.Contains(dataCentres, v.DataCentre) {
				t.Errorf("%s: %s sent to %s in %s", name, sent.method, v.ID.Name, v.DataCentre)
			}
		}
	}
}

// TestRetriesStayInTheHomeRegions guards against a retry or a continued stream that leaves the home regions because the
// endpoints there fail.
func TestRetriesStayInTheHomeRegions(t *testing.T) {
	e := spreadEndpoints(map[string]string{"plain2": "b", "plain3": "b", "prefill2": "b", "decode2": "b", "decode3": "b"})
	for _, path := range []string{repeatPath, resumablePath} {
		f, _, _ := inBubble(t, e, []string{"south"}, nil, newCall(path), func(*schedule.Scheduler, *traffic.Configuration) *fakeBackend {
			return &fakeBackend{run: func(int, context.Context, backend.Request) (*backend.Response, error) {
				r := truncated(events(1, 1))
				r.EventStream = true
				return r, nil
			}}
		})
		if f.count("run") != 2 {
			t.Errorf("%s: %d sends, want 2", path, f.count("run"))
		}
		checkSends(t, path, f, e, []string{"b"})
	}
}

// TestEvacuationDuringACall guards against sends to a data centre that is evacuated between two steps of a call, and
// against a call that fails although others can take it. The handle prefilled there is used.
func TestEvacuationDuringACall(t *testing.T) {
	e := spreadEndpoints(map[string]string{"plain2": "b", "plain3": "b", "prefill2": "b", "decode2": "b", "decode3": "b"})
	evacuated := e
	evacuated.Version, evacuated.Evacuated = 2, []string{"a"}
	t.Run("after prefill", func(t *testing.T) {
		f, _, err := inBubble(t, e, nil, nil, newCall(streamPath), func(s *schedule.Scheduler, cfg *traffic.Configuration) *fakeBackend {
			return &fakeBackend{prefill: func(int, backend.Request) error {
				s.UpdateEndpoints(evacuated, cfg.Services)
				return nil
			}}
		})
		if err != nil || f.count("prefill") != 1 || f.count("run") != 1 || f.sends[1].source != "h1" {
			t.Errorf("sends %+v, error %v", f.sends, err)
		}
		checkSends(t, "decode", &fakeBackend{sends: f.sends[1:]}, e, []string{"b"})
	})
	for _, path := range []string{repeatPath, resumablePath} {
		f, _, err := inBubble(t, e, nil, nil, newCall(path), func(s *schedule.Scheduler, cfg *traffic.Configuration) *fakeBackend {
			return &fakeBackend{run: func(n int, _ context.Context, _ backend.Request) (*backend.Response, error) {
				if n > 1 {
					r := reply(http.StatusOK, events(2, 3))
					r.EventStream, r.Delimited = true, true
					return r, nil
				}
				s.UpdateEndpoints(evacuated, cfg.Services)
				r := truncated(events(1, 1))
				r.EventStream = true
				return r, nil
			}}
		})
		if err != nil {
			t.Errorf("%s: %v", path, err)
		}
		first := slices.IndexFunc(f.sends, func(s sentRequest) bool { return s.method == "run" })
		checkSends(t, path, &fakeBackend{sends: f.sends[first+1:]}, e, []string{"b"})
	}
}

// TestEvacuatedServiceIsRefusedAtOnce guards against callers that wait for endpoints that take nothing.
func TestEvacuatedServiceIsRefusedAtOnce(t *testing.T) {
	e := spreadEndpoints(nil)
	e.Evacuated = []string{"a"}
	for _, path := range []string{oncePath, streamPath} {
		f, took, err := inBubble(t, e, nil, nil, newCall(path), noBehaviour)
		checkError(t, err, fault.Unavailable, fault.NotExecuted)
		if len(f.sends) > 0 || took > 0 {
			t.Errorf("%s: %d requests sent, refused after %s", path, len(f.sends), took)
		}
	}
}
