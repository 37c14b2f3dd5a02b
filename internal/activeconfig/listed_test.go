package activeconfig

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestRequestedReadIsAheadOfTheRegularOne guards against requests that wait for the next regular read of the store, and against VMs
// of a large fleet that all read it.
func TestRequestedReadIsAheadOfTheRegularOne(t *testing.T) {
	for rank, wantAge := range map[int]time.Duration{0: pollInterval, maxStandbyRank + 1: primaryReadAge / 2} {
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			st, last := newTestState(clock.NewMonotonic())
			s := &fakeSource{config: "1"}
			go (&Refresher{State: st, Source: s, Rank: func() int { return rank }, Log: zap.NewNop()}).Run(ctx)
			time.Sleep(primaryReadAge / 2)
			before := s.count()
			st.RequestRead()
			time.Sleep(pollInterval)
			age, ok := st.Listed(last.List[0].ID)
			if ahead := rank <= maxStandbyRank; !ok || ahead != (age <= wantAge) || ahead != (s.count() > before) {
				t.Errorf("rank %d: the table is %v old after %d more reads, listed %t", rank, age, s.count()-before, ok)
			}
			time.Sleep(pollInterval)
			if n := s.count(); n > before+1 {
				t.Errorf("rank %d: %d reads for one request", rank, n-before)
			}
			stop()
			synctest.Wait()
		})
	}
}

// TestListedEndpoints guards against entries that count as listed by the store although they are gone, or retained after an outage.
func TestListedEndpoints(t *testing.T) {
	c := &fakeClock{}
	st, _ := newTestState(c)
	st.ApplyEndpoints(table(1, "a", "b"), c.now, "store")
	c.now = c.now.Add(time.Second)
	if age, ok := st.Listed(traffic.EndpointID{Name: "a"}); !ok || age != time.Second {
		t.Errorf("age %v, listed %t", age, ok)
	}
	if _, ok := st.Listed(traffic.EndpointID{Name: "a", StartedAt: 1}); ok {
		t.Error("a later lifetime counts as listed")
	}
	c.now = c.now.Add(time.Minute)
	st.ApplyEndpoints(table(2, "a"), c.now, "store")
	if age, ok := st.Listed(traffic.EndpointID{Name: "b"}); !ok || age < time.Minute {
		t.Errorf("retained entry: age %v, listed %t", age, ok)
	}
}
