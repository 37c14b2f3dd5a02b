package origin

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestOnlyVersionIsThatOfNow guards against streams that go on at the version that was the only one before the VM was paused,
// although a second one, which it has not read yet, began them, or although another VM does not know which one did.
func TestOnlyVersionIsThatOfNow(t *testing.T) {
	v1, v2 := traffic.StreamOrigin{Service: testService, Version: "v1"}, traffic.StreamOrigin{Service: testService, Version: "v2"}
	none := traffic.StreamOrigin{}
	endpoint := func(o traffic.StreamOrigin) traffic.Endpoint {
		return traffic.Endpoint{ID: traffic.EndpointID{Name: o.Version}, Service: o.Service, SoftwareVersion: o.Version}
	}
	for _, tc := range []struct {
		name string
		// listed is what a read of the store finds, nil if it fails. told is what another VM says of the stream, which is that it does
		// not know its version if it is empty.
		listed []traffic.Endpoint
		told   *traffic.StreamOrigin
		want   traffic.StreamOrigin
		source Source
	}{
		{"still the only one", []traffic.Endpoint{endpoint(v1)}, nil, v1, FromVersions},
		{"still the only one, unsettled at another VM", []traffic.Endpoint{endpoint(v1)}, &none, none, Unknown},
		{"still the only one, record of another VM", []traffic.Endpoint{endpoint(v1)}, &v2, v2, FromVM},
		{"second version, no record", []traffic.Endpoint{endpoint(v1), endpoint(v2)}, nil, none, Unknown},
		{"second version, record of another VM", []traffic.Endpoint{endpoint(v1), endpoint(v2)}, &v2, v2, FromVM},
		{"store away, record of another VM", nil, &v2, v2, FromVM},
		{"store away, unsettled at another VM", nil, &none, none, Unknown},
		{"store away, no record", nil, nil, v1, FromVersions},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var c *Controller
			c = NewController(Options{
				Clock: clock.NewMonotonic(), Log: zap.NewNop(), Metrics: metrics.NewSet(), FirstStart: true,
				Reread: func(context.Context) bool {
					if tc.listed != nil {
						c.SetEndpoints(tc.listed)
					}
					return tc.listed != nil
				},
				Ask: func(_ context.Context, k Key) (traffic.StreamOrigin, bool) {
					switch {
					case tc.told == nil:
						return none, false
					case *tc.told == none:
						c.MarkUnsettled(k)
						return none, false
					}
					return *tc.told, true
				},
			})
			c.SetEndpoints([]traffic.Endpoint{endpoint(v1)})
			if o, source := c.Find(t.Context(), NewKey("w", "call"), testService, time.Minute); o != tc.want || source != tc.source {
				t.Errorf("origin %v from %s, want %v from %s", o, source, tc.want, tc.source)
			}
		})
	}
}
