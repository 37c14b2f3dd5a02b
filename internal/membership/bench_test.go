package membership

import (
	"testing"
	"time"
)

// BenchmarkFleetOf400 runs 400 VMs in 8 data centres in simulated time. It reports the processor
// time of one VM for each second that it is a member, with the encoding of its messages, and the
// simulated time until all see one VM, and then ten VMs at once, as suspect.
func BenchmarkFleetOf400(b *testing.B) {
	f := newFleet(1, 50, 50, 50, 50, 50, 50, 50, 50)
	f.run(10 * time.Second)
	if bad := converged(f); bad != "" {
		b.Fatal(bad)
	}
	for b.Loop() {
		f.run(time.Second)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(len(f.order)), "µs/VM-second")
	b.ReportMetric(killAndWait(f, f.order[7:8]).Seconds(), "s-one-suspect")
	b.ReportMetric(killAndWait(f, f.order[60:70]).Seconds(), "s-ten-suspect")
}

// killAndWait gives the time until every VM that runs sees all the killed ones as suspect.
func killAndWait(f *fleet, names []string) time.Duration {
	for _, name := range names {
		f.kill(name)
	}
	at := f.now
	for _, name := range names {
		for !allSuspect(f, name) && f.now.Sub(at) < 20*time.Second {
			f.run(50 * time.Millisecond)
		}
	}
	return f.now.Sub(at)
}

func TestTenVMsKilledAtOnceAreSuspect(t *testing.T) {
	f := newFleet(1, 50, 3, 3)
	f.run(8 * time.Second)
	took := killAndWait(f, f.order[5:15])
	t.Logf("suspect for all others after %v", took)
	if took > 4*time.Second {
		t.Error("too late for changes in force within 4 s")
	}
}
