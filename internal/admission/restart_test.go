package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// recordingPlans are the Plans of a fleet whose usage is recorded.
type recordingPlans struct {
	*Plans
	// stored is the record that is stored, pending one that will be at storedAt.
	stored, pending       UsageRecord
	recordedAt, pendingAt clock.Instant
	storedAt              clock.Instant
}

// admit admits a call and records the usage when that is due. The record is stored after delay.
func (r *recordingPlans) admit(now clock.Instant, l Limit, cost int64, delay time.Duration) bool {
	r.store(now)
	admitted := r.Admit(now, "w", l, cost).Admitted
	if r.pendingAt == 0 && r.RecordDue(now) {
		record, done := r.Record(now)
		r.pending, r.pendingAt, r.storedAt = record, now, now.Add(delay)
		done()
	}
	return admitted
}

func (r *recordingPlans) store(now clock.Instant) {
	if r.pendingAt > 0 && !now.Before(r.storedAt) {
		r.stored, r.recordedAt, r.pendingAt = r.pending, r.pendingAt, 0
	}
}

// restartAll starts the fleet again at now, after all VMs ended at endedAt.
func (r *recordingPlans) restartAll(endedAt, now clock.Instant, slack Slack) {
	r.store(endedAt)
	r.pendingAt = 0
	r.Plans = NewPlans(now, testWindow, testLoweringDelay, slack)
	r.stored.Age = now.Sub(r.recordedAt)
	r.AdoptRecords(now, "", []UsageRecord{r.stored})
}

// TestPlanHoldsWhenAllVMsEnd plays a workspace that asks for a multiple of its plan while all VMs end and start
// again, several times. No window may hold more than the plan, and the part of the slack that is left for it.
func TestPlanHoldsWhenAllVMsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := float64(rapid.IntRange(1000, 50_000).Draw(t, "rate"))
		limit := Limit{Rate: rate, Burst: rate * rapid.Float64Range(0, 2).Draw(t, "burst")}
		slack := Slack{PlanFraction: 0.1, Tokens: rate * rapid.Float64Range(0.5, 4).Draw(t, "slack")}
		p := &recordingPlans{Plans: NewPlans(oldStart(), testWindow, testLoweringDelay, slack)}
		var used usageLog
		now := at(0)
		for range rapid.IntRange(20, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 120).Draw(t, "pause")) * time.Millisecond)
			if rapid.IntRange(0, 60).Draw(t, "end") == 0 {
				endedAt := now
				now = now.Add(time.Duration(rapid.IntRange(300, 1500).Draw(t, "down")) * time.Millisecond)
				p.restartAll(endedAt, now, slack)
			}
			cost := int64(rate * rapid.Float64Range(0.01, 0.4).Draw(t, "cost"))
			if p.admit(now, limit, cost, time.Duration(rapid.IntRange(0, 200).Draw(t, "delay"))*time.Millisecond) {
				used.add(now, cost)
			}
			plan := limit.Rate*testWindow.Seconds() + limit.Burst
			if sum, bound := used.inWindow(now), plan*(1+slack.PlanFraction)+slack.Tokens; float64(sum) > bound {
				t.Fatalf("%d tokens admitted in a window, %.0f are allowed", sum, bound)
			}
		}
	})
}

func TestUsageRecordsMakeAStartStricterAtMost(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500} // 8500 tokens in a window
	hot := map[string][]int64{"w": {0, 0, 6000}}
	for _, tc := range []struct {
		name    string
		group   string
		records []UsageRecord
		want    int64
	}{
		{"no records", "", nil, 4250},
		{"another workspace", "", []UsageRecord{{Buckets: map[string][]int64{"v": {9000}}}}, 4250},
		{"recorded", "", []UsageRecord{{Age: time.Second, Buckets: hot}}, 800},
		{"two records of the same", "", []UsageRecord{{Age: time.Second, Buckets: hot}, {Age: time.Second, Buckets: hot}}, 800},
		{"of another data centre", "b", []UsageRecord{{Group: "a", Age: time.Second, Buckets: hot}}, 800},
		{"older than the window", "", []UsageRecord{{Age: testWindow, Buckets: hot}}, 4250},
		{"from the future", "", []UsageRecord{{Age: -time.Hour, Buckets: hot}}, 800},
		{"negative usage", "", []UsageRecord{{Buckets: map[string][]int64{"v": {-9000}}}}, 4250},
		{"more buckets than a window has", "", []UsageRecord{{Buckets: map[string][]int64{"v": make([]int64, 1000)}}}, 4250},
	} {
		t.Run(tc.name, func(t *testing.T) {
			p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
			p.AdoptRecords(at(0), tc.group, tc.records)
			if p.Admit(at(0), "w", limit, tc.want+1).Admitted {
				t.Errorf("%d tokens were admitted, want at most %d", tc.want+1, tc.want)
			}
			if !p.Admit(at(0), "w", limit, tc.want).Admitted {
				t.Errorf("%d tokens were refused", tc.want)
			}
			// What other data centres told counts for up to reportHold more.
			if !p.Admit(at(testWindow+reportHold), "w", limit, 8500-tc.want).Admitted {
				t.Error("the plan is not free again after a window")
			}
		})
	}
}

// TestVMThatLivedThroughTheWindowReplacesRecords checks that the records count only until such a VM is heard.
func TestVMThatLivedThroughTheWindowReplacesRecords(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	lived := NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{})
	lived.Admit(at(0), "w", limit, 1000)
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	p.AdoptRecords(at(0), "", nil)
	if !p.NeedsWindow(at(0)) || p.Admit(at(0), "w", limit, 5000).Admitted {
		t.Fatal("knows the window from the records alone")
	}
	other := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	state, ok := p.WindowState(at(0))
	other.AdoptWindow(at(0), state)
	if !ok || !other.NeedsWindow(at(0)) || other.Admit(at(0), "w", limit, 5000).Admitted {
		t.Error("another VM that started does not adopt what the records told")
	}
	state, _ = lived.WindowState(at(0))
	p.AdoptWindow(at(0), state)
	if p.NeedsWindow(at(0)) || !p.Admit(at(0), "w", limit, 7500).Admitted {
		t.Error("the window of a VM that lived through it does not replace the records")
	}
}

// TestRecordedUsageDoesNotCountBesideTheWindow checks that usage does not count once as recorded and once as told.
func TestRecordedUsageDoesNotCountBesideTheWindow(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500} // 8500 tokens in a window
	bucket := testWindow / windowBuckets
	lived := NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{})
	for n := range 8 {
		lived.Admit(at(time.Duration(n)*4*bucket), "w", limit, 500)
	}
	recordedAt, startedAt := at(30*bucket), at(40*bucket)
	record, _ := lived.Record(recordedAt)
	p := NewPlans(startedAt, testWindow, testLoweringDelay, Slack{})
	p.AdoptRecords(startedAt, "", []UsageRecord{{Age: 9 * bucket, Buckets: record.Buckets}})
	if !p.Admit(startedAt, "w", limit, 500).Admitted {
		t.Fatal("the first call after the start was refused")
	}
	state, _ := lived.WindowState(startedAt)
	p.AdoptWindow(startedAt, state)
	if p.Admit(startedAt, "w", limit, 8500-4500+1).Admitted {
		t.Error("more was admitted than the plan allows")
	}
	if !p.Admit(startedAt, "w", limit, 8500-4500).Admitted {
		t.Error("what the plan still allows was refused: recorded usage counts beside the window")
	}
}

// TestRecordedUsageIsThatOfTheWholeFleet checks that a VM which has not heard most of the fleet yet does not take
// what was recorded for its own share of the usage.
func TestRecordedUsageIsThatOfTheWholeFleet(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500} // 8500 tokens in a window
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	p.SetLiveShare(at(0), 0.25, 0)
	p.AdoptRecords(at(0), "a", []UsageRecord{
		{Group: "a", Age: time.Second, Buckets: map[string][]int64{"w": {1000}}}, {Group: "b", Age: time.Second, Buckets: map[string][]int64{"w": {1000}}},
	})
	// Of the plan 2000 are recorded and 1700 may be unrecorded; a quarter of the rest is for this side.
	if p.Admit(at(0), "w", limit, 1300).Admitted {
		t.Error("1300 tokens were admitted, want at most 1200")
	}
	if !p.Admit(at(0), "w", limit, 1100).Admitted {
		t.Error("1100 tokens were refused, want 1200 allowed")
	}
}

// TestNewerRecordReplacesAnother checks that the usage that two VMs recorded one after the other counts once.
func TestNewerRecordReplacesAnother(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	p.AdoptRecords(at(0), "", []UsageRecord{
		{Age: time.Second, Buckets: map[string][]int64{"w": {0, 3000}}}, {Age: 4 * time.Second, Buckets: map[string][]int64{"w": {3000}}},
	})
	if !p.Admit(at(0), "w", limit, 3800).Admitted {
		t.Error("the usage counts twice")
	}
}

// TestUsageInRecordsAndInTheWindowOfALivingVMCountsOnce guards against calls that are refused as over a plan that is half unused, after
// most VMs have ended.
func TestUsageInRecordsAndInTheWindowOfALivingVMCountsOnce(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500} // 8500 tokens in a window
	lived := NewPlans(oldStart(), testWindow, testLoweringDelay, Slack{})
	for i := range 5 {
		lived.Admit(at(time.Duration(i)*time.Second), "w", limit, 1000)
	}
	record, _ := lived.Record(at(5 * time.Second))
	state, _ := lived.WindowState(at(6 * time.Second))
	started := at(6 * time.Second)
	for _, adopt := range []struct {
		name string
		run  func(p *Plans)
	}{
		{"records", func(p *Plans) { p.AdoptRecords(started, "", []UsageRecord{record}) }},
		{"window of a VM that started", func(p *Plans) {
			other := NewPlans(started, testWindow, testLoweringDelay, Slack{})
			other.AdoptRecords(started, "", []UsageRecord{record})
			told, _ := other.WindowState(started)
			p.AdoptWindow(started, told)
		}},
	} {
		t.Run(adopt.name, func(t *testing.T) {
			p := NewPlans(started, testWindow, testLoweringDelay, Slack{})
			adopt.run(p)
			p.AddFromPeer(started, "w", 300)
			p.AdoptWindow(started, state)
			if d := p.Preview(started, "w", limit, 3200); !d.Admitted {
				t.Errorf("%d tokens count as used, want 5300", d.UsedBefore)
			}
			if p.Preview(started, "w", limit, 3201).Admitted {
				t.Error("more than the plan is admitted")
			}
		})
	}
}

// TestRecordsThatTellMoreThanALivingVMStay guards against a plan that is exceeded when the VM that lived was cut off from the others.
func TestRecordsThatTellMoreThanALivingVMStay(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	p.AdoptRecords(at(0), "", []UsageRecord{{Age: time.Second, Buckets: map[string][]int64{"w": {5000}}}})
	p.AdoptWindow(at(0), windowOf(map[int]int64{20: 1000}))
	if p.Preview(at(0), "w", limit, 3501).Admitted {
		t.Error("usage that is recorded does not count")
	}
	if !p.Preview(at(0), "w", limit, 2500).Admitted {
		t.Error("usage that is in the record and in the window counts more than twice")
	}
}

// TestAdmissionsAfterAnAdoptionStayAtTheNextOne guards against a plan that is exceeded because a second report of the same usage takes
// back what this VM has admitted since the first one.
func TestAdmissionsAfterAnAdoptionStayAtTheNextOne(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500} // 8500 tokens in a window
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	p.AddFromPeer(at(0), "w", 1000)
	p.AdoptWindow(at(0), windowOf(map[int]int64{0: 2000}))
	before := p.Preview(at(0), "w", limit, 0).UsedBefore
	p.Admit(at(0), "w", limit, 1000)
	p.AdoptWindow(at(0), windowOf(map[int]int64{0: 2000}))
	if used := p.Preview(at(0), "w", limit, 0).UsedBefore; used < before+1000 {
		t.Errorf("%d tokens count as used after 1000 were admitted to %d", used, before)
	}
}

// TestRecordsOfSeveralDataCentresAddUp guards against a plan that is exceeded when the VMs of a large fleet start before they know that
// it is large: the usage of different data centres is not the same usage.
func TestRecordsOfSeveralDataCentresAddUp(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	p.AdoptRecords(at(0), "", []UsageRecord{
		{Group: "a", Age: time.Second, Buckets: map[string][]int64{"w": {4000}}},
		{Group: "b", Age: time.Second, Buckets: map[string][]int64{"w": {4000}}},
	})
	if p.Preview(at(0), "w", limit, 501).Admitted {
		t.Error("8000 tokens are recorded by two data centres, and more than the 500 that are left are admitted")
	}
}

// TestRecordsOfTwoSidesAtDifferentTimesAddUp guards against a plan that is exceeded because usage of the two sides of a partition, seconds
// apart, counts as the same.
func TestRecordsOfTwoSidesAtDifferentTimesAddUp(t *testing.T) {
	limit := Limit{Rate: 1000, Burst: 500}
	p := NewPlans(at(0), testWindow, testLoweringDelay, Slack{})
	late := make([]int64, 41)
	late[40] = 4000 // 5 s before the record
	p.AdoptRecords(at(0), "", []UsageRecord{
		{Age: time.Second, Buckets: map[string][]int64{"w": {4000}}},
		{Age: time.Second, Buckets: map[string][]int64{"w": late}},
	})
	if p.Preview(at(0), "w", limit, 501).Admitted {
		t.Error("8000 tokens are recorded by two sides, and more than the 500 that are left are admitted")
	}
}
