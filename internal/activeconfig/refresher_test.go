package activeconfig

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// unreadableTable is a store whose list of endpoints cannot be read.
type unreadableTable struct{ *fakeSource }

func (unreadableTable) Endpoints(context.Context) (traffic.Endpoints, error) {
	return traffic.Endpoints{}, fault.New(fault.Malformed, "none", "no list")
}

// TestUnreadableTableDoesNotHideTheConfiguration guards against a configuration, with its withdrawn keys, that is not read
// while the list of endpoints cannot be read.
func TestUnreadableTableDoesNotHideTheConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st, _ := newTestState(clock.NewMonotonic())
		ctx, stop := context.WithCancel(t.Context())
		s := unreadableTable{&fakeSource{config: "1"}}
		r := &Refresher{State: st, Source: s, Rank: func() int { return 0 }, Log: zap.NewNop()}
		go r.Run(ctx)
		for _, raw := range []string{"1", "2", "3"} {
			s.setConfiguration(raw)
			time.Sleep(primaryReadAge + pollInterval)
			if c := st.Configuration(); c == nil || string(rune('0'+c.Version)) != raw {
				t.Errorf("configuration %v is in force, want version %s", c, raw)
			}
		}
		stop()
		synctest.Wait()
	})
}

// unreadableConfiguration is a store whose configuration cannot be read from the second read on.
type unreadableConfiguration struct {
	*fakeSource
	broken atomic.Bool
}

func (s *unreadableConfiguration) Configuration(ctx context.Context) ([]byte, uint64, error) {
	if s.broken.Load() {
		return nil, 0, fault.New(fault.Malformed, "none", "no object")
	}
	return s.fakeSource.Configuration(ctx)
}

// TestUnreadableConfigurationDoesNotHideTheTable guards against endpoints that are not known, and a former configuration that is
// lost, while the configuration cannot be read.
func TestUnreadableConfigurationDoesNotHideTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		s := &unreadableConfiguration{fakeSource: &fakeSource{config: "1"}}
		started, _ := newTestState(clock.NewMonotonic())
		go (&Refresher{State: started, Source: s, Rank: func() int { return 0 }, Log: zap.NewNop()}).Run(ctx)
		time.Sleep(primaryReadAge)
		s.broken.Store(true)
		restarted, last := newTestState(clock.NewMonotonic())
		go (&Refresher{State: restarted, Source: s, Rank: func() int { return 0 }, Log: zap.NewNop()}).Run(ctx)
		time.Sleep(3 * primaryReadAge)
		if c := started.Configuration(); c == nil || c.Version != 1 || started.Age() > primaryReadAge+pollInterval {
			t.Errorf("configuration %v is in force, the table is %s old", c, started.Age())
		}
		if names(last) != "a" || restarted.Ready() {
			t.Errorf("endpoints %s are known, ready %v, want a and false", names(last), restarted.Ready())
		}
		stop()
		synctest.Wait()
	})
}
