package resident

import (
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
)

// Settings are what an installation tells a VM.
type Settings struct {
	VMName     string
	DataCentre string
	// Callers and Ready are where callers and readiness checks arrive, Peers where messages of
	// other VMs do, and Metrics where counters and histograms are served.
	Callers, Ready, Peers, Metrics netip.AddrPort
	// MemoryBytes is the memory above which the process is killed.
	MemoryBytes int64
	// HeartbeatPeriod is the time between the heartbeats of endpoints.
	HeartbeatPeriod time.Duration
	// GraceTime is the time between SIGTERM and SIGKILL.
	GraceTime time.Duration
	// Retries bounds the extra sends to a service, Plans says how plans are counted.
	Retries admission.RetryBudget
	Plans   admission.PlanOptions
	// LeaseTime is how long after an order of one VM no other may give one.
	LeaseTime time.Duration
	// Odd holds the fields that could not be read and have their default.
	Odd []string
}
