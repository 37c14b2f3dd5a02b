package admission

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// storedUsage is a RecordStore with one record.
type storedUsage struct{ record UsageRecord }

func (s storedUsage) SaveUsage(context.Context, UsageRecord) error { return nil }

func (s storedUsage) LoadUsage(context.Context) ([]UsageRecord, error) {
	return []UsageRecord{s.record}, nil
}

// TestRecordsOfVMsWithOtherClocksCount checks that a record which seems to have just left the window counts: the clock of
// the VM that made it may have been behind.
func TestRecordsOfVMsWithOtherClocksCount(t *testing.T) {
	for age, counts := range map[time.Duration]bool{testWindow + clock.Tolerance/2: true, testWindow + 2*clock.Tolerance: false} {
		synctest.Test(t, func(t *testing.T) {
			c := NewController(clock.NewMonotonic(), RetryBudget{}, PlanOptions{Window: testWindow}, 1, nil)
			r := &Recorder{
				Controller: c, Store: storedUsage{UsageRecord{Age: age, Buckets: map[string][]int64{"w": {6000}}}}, Log: zap.NewNop(),
				Group: func() string { return "" }, Rank: func() int { return 1 }, ListedRank: func() (int, bool) { return 0, true },
			}
			r.load(t.Context())
			if hot := c.plans.hot["w"]; hot != counts {
				t.Errorf("a record of %v ago counts: %v, want %v", age, hot, counts)
			}
		})
	}
}
