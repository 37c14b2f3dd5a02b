package vmserver

import (
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/schedule"
)

// Settings are the settings of one VM of an installation.
type Settings struct {
	VMName     string
	DataCentre string
	// Callers, Ready, Peers and Metrics are the addresses on which the VM listens for callers,
	// readiness checks, messages of other VMs and scrapes of its metrics.
	Callers, Ready, Peers, Metrics netip.AddrPort
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// MemoryBytes is the memory limit above which the process is killed.
	MemoryBytes int64
	// Descriptors is the number of descriptors that sockets may use, 0 for the limit of the process.
	Descriptors int
	// HeartbeatPeriod is the time between two heartbeats of an endpoint.
	HeartbeatPeriod time.Duration
	// GraceTime is the time between SIGTERM and SIGKILL.
	GraceTime time.Duration
	// DrainTime is how long endpoints that leave take calls.
	DrainTime time.Duration
	// RetryBudget bounds the retries to a service, Plans configures the accounting of plans.
	RetryBudget admission.RetryBudget
	Plans       admission.PlanOptions
	// LeaseDuration is how long a VM holds the lease for ordering engines to change their stage.
	LeaseDuration time.Duration
	// Regions are the regions of data centres, by name.
	Regions map[string]string
	// EvacuationTime is the time within which an evacuation of a data centre must be in force at all VMs, 0 if the
	// installation has no evacuations.
	EvacuationTime time.Duration
	// ColdBound is what cold endpoints bear in a second beyond their rate.
	ColdBound schedule.ColdBound
	// Invalid lists the fields with an invalid value, for which the default is used.
	Invalid []string
}
