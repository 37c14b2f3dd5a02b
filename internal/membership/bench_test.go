package membership

import (
	"testing"
	"time"
)

// BenchmarkFleetOf400 simulates 400 VMs in 8 data centres. It reports the CPU time per VM and
// second of simulated time, including the encoding of messages, and the simulated time until all
// VMs see one killed VM, and then ten killed at once, as suspect.
func BenchmarkFleetOf400(b *testing.B) {
	f := newFleet(1, 50, 50, 50, 50, 50, 50, 50, 50)
	f.run(10 * time.Second)
	if bad := firstDisagreement(f); bad != "" {
		b.Fatal(bad)
	}
	for b.Loop() {
		f.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(f.order)), "µs/VM-second")
	b.ReportMetric(timeUntilSuspect(f, f.order[7:8]).Seconds(), "s-one-suspect")
	b.ReportMetric(timeUntilSuspect(f, f.order[60:70]).Seconds(), "s-ten-suspect")
}

// timeUntilSuspect kills VMs and returns the time until every running VM sees them as suspect.
func timeUntilSuspect(f *fleet, names []string) time.Duration {
	for _, name := range names {
		f.kill(name)
	}
	killedAt := f.now
	for _, name := range names {
		for !allSuspect(f, name) && f.now.Sub(killedAt) < 20*time.Second {
			f.run(50 * time.Millisecond)
		}
	}
	return f.now.Sub(killedAt)
}

func TestTenKilledVMsBecomeSuspect(t *testing.T) {
	f := newFleet(1, 50, 3, 3)
	f.run(8 * time.Second)
	elapsed := timeUntilSuspect(f, f.order[5:15])
	t.Logf("seen as suspect by all others after %v", elapsed)
	// A change of membership must take effect on all VMs within 4 s.
	if elapsed > 4*time.Second {
		t.Error("killed VMs were not suspect within 4 s")
	}
}
