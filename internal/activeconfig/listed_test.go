package activeconfig

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
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
			reads := st.RequestRead()
			time.Sleep(pollInterval)
			readAt, ok := st.Listed(last.List[0].ID)
			age := time.Since(readAt)
			if ahead := rank <= maxStandbyRank; !ok || ahead != reads || ahead != (age <= wantAge) || ahead != (s.count() > before) {
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

// TestListedEndpoints guards against entries that count as listed by the store although they are gone, or retained after an outage,
// and against reads that count as later than they were.
func TestListedEndpoints(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, _ := newTestState(c)
	before := time.Now()
	st.ApplyEndpoints(table(1, "a", "b"), c.now.Add(-time.Second), fromStore)
	if readAt, ok := st.Listed(traffic.EndpointID{Name: "a"}); !ok || readAt.Before(before.Add(-time.Second)) || readAt.After(time.Now().Add(-time.Second)) {
		t.Errorf("read %v ago, listed %t", time.Since(readAt), ok)
	}
	if _, ok := st.Listed(traffic.EndpointID{Name: "a", StartedAt: 1}); ok {
		t.Error("a later lifetime counts as listed")
	}
	c.now = c.now.Add(time.Minute)
	st.ApplyEndpoints(table(2, "a"), c.now, fromStore)
	if readAt, ok := st.Listed(traffic.EndpointID{Name: "b"}); !ok || !readAt.IsZero() {
		t.Errorf("retained entry: read at %v, listed %t", readAt, ok)
	}
}

// TestNewsOfReadsIsNoRead guards against entries that count as listed now by a message that lay unread while this VM was paused.
func TestNewsOfReadsIsNoRead(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, _ := newTestState(c)
	st.ApplyEndpoints(table(1, "a"), c.now, fromStore)
	id := traffic.EndpointID{Name: "a"}
	read, _ := st.Listed(id)
	c.now = c.now.Add(time.Second)
	other := ident.VM{Name: "other", Incarnation: 1}
	st.Confirm(traffic.Freshness{Versions: st.Versions(), Reading: traffic.Reading{VM: other, Number: 1}, Age: time.Millisecond})
	if age := st.Age(); age > time.Millisecond {
		t.Fatalf("the news is not taken: the table is %v old", age)
	}
	if readAt, ok := st.Listed(id); !ok || !readAt.Equal(read) {
		t.Errorf("read %v after the VM's own, listed %t", readAt.Sub(read), ok)
	}
	st.ApplyEndpoints(table(2, "a", "b"), c.now, "other")
	if readAt, ok := st.Listed(id); !ok || !readAt.Equal(read) {
		t.Errorf("with the table of another VM: read %v after the VM's own, listed %t", readAt.Sub(read), ok)
	}
	if readAt, ok := st.Listed(traffic.EndpointID{Name: "b"}); !ok || !readAt.IsZero() {
		t.Errorf("an entry that this VM has not read: read at %v, listed %t", readAt, ok)
	}
}

// TestRestoredStoreConfirmsNoLifetime guards against entries of a backup that count as those of the lifetimes that serve now.
func TestRestoredStoreConfirmsNoLifetime(t *testing.T) {
	c := &fakeClock{now: clock.Instant(time.Hour)}
	st, _ := newTestState(c)
	st.ApplyEndpoints(table(5, "a"), c.now, fromStore)
	restored := table(3, "a")
	restored.Era++
	st.ApplyEndpoints(restored, c.now, fromStore)
	if readAt, ok := st.Listed(traffic.EndpointID{Name: "a"}); !ok || !readAt.IsZero() {
		t.Errorf("read at %v, listed %t", readAt, ok)
	}
}
