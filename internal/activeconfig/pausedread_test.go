package activeconfig

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// pausingSource is a store whose next read, if pause is set, is under way during a pause of the VM and fails after it.
type pausingSource struct {
	*fakeSource
	pause     atomic.Int64
	resumedAt atomic.Pointer[time.Time]
}

// sinceResumed returns the time since the pause, a long one before.
func (s *pausingSource) sinceResumed() time.Duration {
	if at := s.resumedAt.Load(); at != nil {
		return time.Since(*at)
	}
	return time.Hour
}

func (s *pausingSource) Endpoints(ctx context.Context) (traffic.Endpoints, error) {
	if pause := s.pause.Swap(0); pause > 0 {
		time.Sleep(time.Duration(pause))
		now := time.Now()
		s.resumedAt.Store(&now)
		return traffic.Endpoints{}, context.DeadlineExceeded
	}
	return s.fakeSource.Endpoints(ctx)
}

// TestReadThatAPauseCutOffIsRepeatedAtOnce guards against VMs that send by a table from before a pause because a read that was under way in it
// failed and counts as a failure of the store, and against a store that is away and is read again and again after a pause.
func TestReadThatAPauseCutOffIsRepeatedAtOnce(t *testing.T) {
	const (
		pause   = 2400 * time.Millisecond
		wake    = 200 * time.Millisecond
		maxWait = 300 * time.Millisecond // for which requests wait for news
	)
	for _, rank := range []int{0, maxStandbyRank + 1} {
		for _, away := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				st, _ := newTestState(clock.NewMonotonic())
				s := &pausingSource{fakeSource: &fakeSource{config: "1"}}
				st.opts.LateBy = func() time.Duration {
					if s.sinceResumed() < wake {
						return pause
					}
					return 0
				}
				ctx, stop := context.WithCancel(t.Context())
				go (&Refresher{State: st, Source: s, Rank: func() int { return rank }, Log: zap.NewNop()}).Run(ctx)
				time.Sleep(time.Millisecond)
				s.pause.Store(int64(pause))
				s.setUnavailable(away)
				time.Sleep(ReadAge(rank) + pause + maxWait - time.Millisecond)
				if !away && st.Age() > s.sinceResumed() {
					t.Errorf("rank %d: the table is %v old %v after the pause", rank, st.Age(), s.sinceResumed())
				}
				if n := s.count(); away && n > 1+int(maxWait/minRetryPause) {
					t.Errorf("rank %d: %d reads of a store that is away", rank, n)
				}
				stop()
				synctest.Wait()
			})
		}
	}
}
