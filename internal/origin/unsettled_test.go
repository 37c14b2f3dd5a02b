package origin

import (
	"context"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// fakeEvidence is evidence whose outcome is there once it is sought, or stays open.
type fakeEvidence struct {
	outcome backend.LifetimeOutcome
	sought  atomic.Bool
}

func (e *fakeEvidence) Look() backend.LifetimeOutcome {
	if !e.sought.Load() {
		return backend.LifetimeOpen
	}
	return e.outcome
}

func (e *fakeEvidence) Seek() { e.sought.Store(true) }

// TestUnsettledStreamDoesNotContinue guards against streams that go on at the version of an entry, which also is the only one of the
// service, although it is not known that the entry is that of the engine that began them.
func TestUnsettledStreamDoesNotContinue(t *testing.T) {
	v1, v2 := traffic.StreamOrigin{Service: testService, Version: "v1"}, traffic.StreamOrigin{Service: testService, Version: "v2"}
	k := NewKey("w", "call")
	for _, tc := range []struct {
		name    string
		listed  []string
		outcome backend.LifetimeOutcome
		source  Source
	}{
		{"one version, reported", []string{"v1"}, backend.LifetimeReported, FromRecord},
		{"one version, reported", []string{"v1"}, backend.LifetimeReported, FromRecord},
		{"one version, open", []string{"v1"}, backend.LifetimeOpen, Unknown},
		{"one version, gone", []string{"v1"}, backend.LifetimeGone, Unknown},
		{"two versions, reported", []string{"v1", "v2"}, backend.LifetimeReported, FromRecord},
		{"two versions, other", []string{"v1", "v2"}, backend.LifetimeOther, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var told []Record
			c := NewController(Options{
				Clock: clock.NewMonotonic(), Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true, Share: func(list []Record) { told = append(told, list...) },
			})
			c.SetEndpoints(endpointsOf(tc.listed))
			c.beganOpen(k, endpointsOf([]string{"v1"})[0], time.Minute, &fakeEvidence{outcome: tc.outcome}, zap.NewNop())
			if _, known := c.Lookup(k); known || len(told) > 0 || len(c.State().Records) > 0 {
				t.Error("an unsettled record is told to others")
			}
			for _, rec := range c.openStreams() {
				if _, _, open := parseOrigin(rec.Origin); !open {
					t.Errorf("an unsettled record is stored as one of %v", rec.Origin)
				}
			}
			o, source := c.Find(t.Context(), k, testService, 100*time.Millisecond)
			if source != tc.source || source != Unknown && o != v1 {
				t.Errorf("origin %v from %s, want from %s", o, source, tc.source)
			}
			want := 0
			if source != Unknown && len(tc.listed) > 1 || tc.outcome == backend.LifetimeGone || tc.outcome == backend.LifetimeOther {
				want = 1
			}
			if len(told) != want || len(c.openStreams()) != want {
				t.Errorf("%d records told and %d to be stored, want %d", len(told), len(c.openStreams()), want)
			}
			for _, rec := range append(told, c.openStreams()...) {
				if isUnknowable(rec.Origin) != (source == Unknown) || source != Unknown && rec.Origin != v1 {
					t.Errorf("%v told or to be stored of a stream whose origin is found by %s", rec.Origin, source)
				}
			}
			if c.AddRecords([]Record{{Key: k, Origin: v2, Left: time.Minute}}); source == Unknown {
				if o, known := c.Lookup(k); !known || o != v2 {
					t.Errorf("a settled record of another VM is not taken: %v", o)
				}
			}
		})
	}
}

// TestStreamThatIsUnsettledAtAnotherVMDoesNotContinue guards against streams that go on at the only version that a VM knows, although
// the VM at which they began does not know theirs.
func TestStreamThatIsUnsettledAtAnotherVMDoesNotContinue(t *testing.T) {
	var c *Controller
	c = NewController(Options{
		Clock: clock.NewMonotonic(), Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true,
		Ask: func(_ context.Context, k Key) (traffic.StreamOrigin, bool) {
			c.MarkUnsettled(k)
			return traffic.StreamOrigin{}, false
		},
	})
	c.SetEndpoints(endpointsOf([]string{"v1"}))
	k := NewKey("w", "call")
	if o, source := c.Find(t.Context(), k, testService, time.Minute); source != Unknown {
		t.Errorf("the stream goes on at %v by %s", o, source)
	}
	if c.Await(t.Context(), k) {
		t.Error("this VM names the stream as one of its own")
	}
	v2 := traffic.StreamOrigin{Service: testService, Version: "v2"}
	c.AddRecords([]Record{{Key: k, Origin: v2, Left: time.Minute}})
	if o, source := c.Find(t.Context(), k, testService, time.Minute); source != FromRecord || o != v2 {
		t.Errorf("origin %v by %s once it is settled", o, source)
	}
}

// TestRecordsAreSettledWithoutACaller guards against records that are not told to other VMs before their stream is resumed, and
// against reads of the store for streams that end soon and need none.
func TestRecordsAreSettledWithoutACaller(t *testing.T) {
	for _, tc := range []struct {
		name    string
		listed  []string
		age     time.Duration
		leaving bool
		sought  bool
	}{
		{"several versions", []string{"v1", "v2"}, 0, false, true},
		{"one version, short stream", []string{"v1"}, openSeekAge / 2, false, false},
		{"one version, long stream", []string{"v1"}, openSeekAge, false, true},
		{"engine that leaves", []string{"v1"}, 0, true, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := &manualClock{clock.Instant(time.Hour)}
			c := NewController(Options{Clock: now, Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true})
			c.SetEndpoints(endpointsOf(tc.listed))
			e := &fakeEvidence{outcome: backend.LifetimeReported}
			k := NewKey("w", "call")
			c.beganOpen(k, endpointsOf([]string{"v1"})[0], time.Minute, e, zap.NewNop())
			now.now = now.now.Add(tc.age)
			listed := endpointsOf(tc.listed)
			listed[0].Leaving = tc.leaving
			c.SetEndpoints(listed)
			if open := c.look(k, false); open == tc.sought || e.sought.Load() != tc.sought {
				t.Errorf("open %v, evidence sought %v", open, e.sought.Load())
			}
		})
	}
}

// TestStoredUnsettledRecordIsSettledByItsReader guards against streams that go on at the version of a stored record although its
// endpoint may have started again, and against refusing all those that began shortly before their VM ended.
func TestStoredUnsettledRecordIsSettledByItsReader(t *testing.T) {
	v1 := traffic.StreamOrigin{Service: testService, Version: "v1"}
	engine := endpointsOf([]string{"v1"})[0]
	for _, tc := range []struct {
		name    string
		id      traffic.EndpointID
		outcome backend.LifetimeOutcome
		source  Source
	}{
		{"reported since", engine.ID, backend.LifetimeReported, FromRecord},
		{"gone since", engine.ID, backend.LifetimeGone, Unknown},
		{"not found in time", engine.ID, backend.LifetimeOpen, Unknown},
		{"back under its id", traffic.EndpointID{Name: "v1", StartedAt: 1}, backend.LifetimeReported, Unknown},
	} {
		t.Run(tc.name, func(t *testing.T) {
			before := time.Now()
			c := NewController(Options{
				Clock: clock.NewMonotonic(), Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true,
				Evidence: func(e traffic.Endpoint, opened time.Time) backend.LifetimeEvidence {
					if opened.Before(before) || e.ID != engine.ID {
						t.Errorf("evidence of %v as of %v", e.ID, opened)
					}
					return &fakeEvidence{outcome: tc.outcome}
				},
			})
			c.SetEndpoints(endpointsOf([]string{"v1", "v2"}))
			k := NewKey("w", "call")
			c.addStored([]Record{{Key: k, Origin: openOriginOf(v1, tc.id), Left: time.Minute}})
			o, source := c.Find(t.Context(), k, testService, 100*time.Millisecond)
			if (source == Unknown) != (tc.source == Unknown) || source != Unknown && o != v1 {
				t.Errorf("origin %v from %s", o, source)
			}
		})
	}
}

// TestOpenOrigins guards against unsettled records that are read as settled ones, and the other way round.
func TestOpenOrigins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.StringMatching(`[ -~]{0,12}`)
		o := traffic.StreamOrigin{Service: names.Draw(t, "service"), Version: names.Draw(t, "version")}
		id := traffic.EndpointID{Name: names.Draw(t, "name"), StartedAt: rapid.Int64().Draw(t, "born")}
		if got, _, open := parseOrigin(o); open || got != o {
			t.Errorf("%v is read as %v, open: %v", o, got, open)
		}
		if got, gotID, open := parseOrigin(openOriginOf(o, id)); !open || got != o || gotID != id {
			t.Errorf("%v of %v is read as %v of %v, open: %v", o, id, got, gotID, open)
		}
	})
}

// TestSettledRecordIsStoredBeforeAnUnsettledOne guards against streams that are refused although one VM knows their version.
func TestSettledRecordIsStoredBeforeAnUnsettledOne(t *testing.T) {
	o := traffic.StreamOrigin{Service: testService, Version: "v1"}
	settled, open := Record{Key: 1, Origin: o, Left: time.Second}, Record{Key: 1, Origin: openOriginOf(o, traffic.EndpointID{Name: "e"}), Left: time.Minute}
	longer := Record{Key: 1, Origin: o, Left: 2 * time.Second}
	for _, tc := range []struct{ a, b, want Record }{
		{settled, open, settled}, {open, settled, settled}, {settled, longer, longer}, {longer, settled, longer}, {Record{}, open, open},
	} {
		if got := preferred(tc.a, tc.b); got != tc.want {
			t.Errorf("%v and %v: %v", tc.a, tc.b, got)
		}
	}
}

// TestSettledRecordIsStoredAgain guards against refusing streams whose engine ended with all VMs, as the store has their records as
// unsettled although they were settled long before.
func TestSettledRecordIsStoredAgain(t *testing.T) {
	o := traffic.StreamOrigin{Service: testService, Version: "v1"}
	settled, open := Record{Key: 1, Origin: o, Left: time.Minute}, Record{Key: 1, Origin: openOriginOf(o, traffic.EndpointID{Name: "e"}), Left: time.Minute}
	now := clock.Instant(time.Hour)
	var r recorder
	r.wrote(now, []Record{open})
	if got := r.action(now, []Record{open}); got != storeNothing {
		t.Errorf("action %d for what is stored", got)
	}
	if got := r.action(now, []Record{settled}); got != storeWrite {
		t.Errorf("action %d for a record that was settled", got)
	}
	r.wrote(now, []Record{settled})
	if got := r.action(now, []Record{settled}); got != storeNothing {
		t.Errorf("action %d for a settled record that is stored", got)
	}
	var report reporter
	to := netip.MustParseAddrPort("127.0.0.1:1")
	for i, tc := range []struct {
		rec Record
		due bool
	}{{open, true}, {open, false}, {settled, true}, {settled, false}} {
		if _, due := report.next(now, []Record{tc.rec}, to); due != tc.due {
			t.Errorf("report %d is due: %v", i, due)
		}
	}
}
