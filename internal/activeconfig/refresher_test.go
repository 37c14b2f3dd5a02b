package activeconfig

import (
	"context"
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
