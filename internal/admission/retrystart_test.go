package admission

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// restartingFleet is a fleet whose VMs end and start again, and use all retries that they may. It keeps the registry as statesync does.
type restartingFleet struct {
	budget   RetryBudget
	vms      []restartingVM
	retries  []clock.Instant
	registry map[int]registryEntry
}

type registryEntry struct {
	startedAt clock.Instant
	replaced  bool
}

type restartingVM struct {
	// process is nil while none runs.
	process   *Retries
	startedAt clock.Instant
	// known are the VMs that the process has listed or heard of, also those that ended.
	known map[int]bool
}

func (f *restartingFleet) start(now clock.Instant, i int) {
	before, listed := f.registry[i]
	former := FormerStart{Listed: listed, Age: now.Sub(before.startedAt)}
	f.registry[i] = registryEntry{now, listed}
	v := restartingVM{process: NewRetries(now, f.budget), startedAt: now, known: map[int]bool{}}
	for j, e := range f.registry {
		v.known[j] = true
		former.OthersListed = former.OthersListed || j != i && e.replaced
	}
	v.process.SetFormerStart(former)
	f.vms[i] = v
	for _, other := range f.vms {
		if other.process != nil {
			other.known[i] = true
		}
	}
}

// end ends a process, in an orderly way if leaves is set.
func (f *restartingFleet) end(now clock.Instant, i int, leaves bool) {
	if leaves && now.Sub(f.vms[i].startedAt) >= f.budget.startMemory() {
		delete(f.registry, i)
	}
	f.vms[i].process = nil
}

func (f *restartingFleet) spendAll(now clock.Instant, i int) {
	v := f.vms[i]
	if v.process == nil {
		return
	}
	for v.process.Spend(now, "s", 1/float64(len(v.known)), 0) {
		f.retries = append(f.retries, now)
	}
}

// worst returns the largest number of retries in a window.
func (f *restartingFleet) worst() (n int, until clock.Instant) {
	for first, last := 0, 0; last < len(f.retries); last++ {
		for f.retries[last].Sub(f.retries[first]) >= f.budget.Window {
			first++
		}
		if last-first+1 > n {
			n, until = last-first+1, f.retries[last]
		}
	}
	return n, until
}

// TestRestartsInARowStayWithinTheSlack guards against processes that each use a part of the slack after their start, and VMs that take the fleet for
// a smaller one than it is.
func TestRestartsInARowStayWithinTheSlack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		vms := rapid.IntRange(1, 5).Draw(t, "vms")
		f := &restartingFleet{
			budget: RetryBudget{Window: 10 * time.Second, Slack: 1000}, vms: make([]restartingVM, vms), registry: map[int]registryEntry{},
		}
		for i := range vms {
			f.start(at(-time.Hour), i)
		}
		now := at(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 100, 1000, 5000, 12_000, 14_000}).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, vms-1).Draw(t, "vm")
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case f.vms[i].process == nil:
				f.start(now, i)
			case action == 0:
				for j := range f.vms {
					f.spendAll(now, j)
				}
			case action == 1:
				f.spendAll(now, i)
			default:
				f.end(now, i, action == 2)
			}
		}
		if n, until := f.worst(); float64(n) > f.budget.Slack {
			t.Fatalf("%d retries of %v in the window until %v", n, f.budget.Slack, until.Sub(at(0)))
		}
	})
}

// TestRestartsOfAFleetOfWhichSomeHaveLeftStayWithinTheSlack guards against VMs that take the fleet for a smaller one than it is, as the registry does
// not hold those that left.
func TestRestartsOfAFleetOfWhichSomeHaveLeftStayWithinTheSlack(t *testing.T) {
	const vms = 6
	for left := range vms + 1 {
		f := &restartingFleet{budget: RetryBudget{Window: 10 * time.Second, Slack: 1000}, vms: make([]restartingVM, vms), registry: map[int]registryEntry{}}
		for i := range vms {
			f.start(at(-time.Hour), i)
		}
		for i := range vms {
			f.spendAll(at(0), i)
			f.end(at(0), i, i < left)
		}
		for i := left; i < vms; i++ {
			f.start(at(0), i)
		}
		for i := left; i < vms; i++ {
			f.spendAll(at(0), i)
		}
		for i := range left {
			f.start(at(0), i)
		}
		for now := time.Duration(0); now < 30*time.Second; now += 100 * time.Millisecond {
			for i := range vms {
				f.spendAll(at(now), i)
			}
		}
		n, until := f.worst()
		t.Logf("%d of %d VMs have left: %d retries of %v", left, vms, n, f.budget.Slack)
		if float64(n) > f.budget.Slack {
			t.Errorf("%d of %d VMs have left: %d retries of %v in the window until %v", left, vms, n, f.budget.Slack, until.Sub(at(0)))
		}
	}
}

// TestVMThatStartsAgainHasRetriesAtOnce guards against calls that fail after a restart although the fleet has used a fraction of its budget.
func TestVMThatStartsAgainHasRetriesAtOnce(t *testing.T) {
	budget := RetryBudget{Window: 10 * time.Second, Slack: 52}
	for _, tc := range []struct {
		name   string
		former *FormerStart
		// want is the number of retries at once and after 5 s.
		want [2]int
	}{
		{"not registered yet", nil, [2]int{0, 0}},
		{"after a long time", &FormerStart{Listed: true, Age: time.Minute}, [2]int{10, 12}},
		{"after a short time", &FormerStart{Listed: true, Age: 3 * time.Second}, [2]int{0, 0}},
		{"before the store was restored", &FormerStart{Listed: true, Lost: true, Age: time.Minute}, [2]int{0, 0}},
		{"none", &FormerStart{}, [2]int{0, 6}},
		{"none, others have a part at once", &FormerStart{OthersListed: true}, [2]int{0, 1}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			r := NewRetries(at(0), budget)
			if tc.former != nil {
				r.SetFormerStart(*tc.former)
			}
			for i, now := range []time.Duration{0, 5 * time.Second} {
				if got := int(r.Remaining(at(now), "s", 1)); got != tc.want[i] {
					t.Errorf("%d retries %v after the start, want %d", got, now, tc.want[i])
				}
			}
		})
	}
}
