package statesync

import (
	"context"
	"net/netip"

	"github.com/fulmartide/fulmartide/internal/admission"
	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Registry lists the VMs of the fleet, for discovery.
type Registry interface {
	// Register adds an entry for this VM and returns what the entry of the process that ran on it before tells. Called again, it
	// returns the same.
	Register(ctx context.Context, m Member) (admission.FormerStart, error)
	// Members returns all entries. A stale read may be seconds old and is cheaper. replaced is set if the entry of another VM has replaced one
	// that tells of the process before.
	Members(ctx context.Context, stale bool) (all []Member, replaced bool, err error)
	// Deregister removes the entry of this VM.
	Deregister(ctx context.Context, m Member) error
}

// Work receives the work that other VMs have placed on endpoints, and reports that of this VM.
type Work interface {
	UpdateWork(vm ident.VM, seq uint64, id traffic.EndpointID, w schedule.Work)
	ReplaceWork(vm ident.VM, seq uint64, all map[traffic.EndpointID]schedule.Work)
	// ReplaceDataCentreWork receives the combined work of another data centre's VMs.
	ReplaceDataCentreWork(name string, seq uint64, all map[traffic.EndpointID]schedule.Work)
	ForgetDataCentre(name string)
	RecordPeerOutcome(id traffic.EndpointID, o schedule.Outcome)
	ForgetVM(vm ident.VM)
	// RecordPeerLimit receives what another VM knows of the rate limit of an endpoint.
	RecordPeerLimit(id traffic.EndpointID, l schedule.Limit)
	// Limits returns the rate limits of endpoints in force.
	Limits() map[traffic.EndpointID]schedule.Limit
	// SetFleet receives the VMs among which these limits are divided, by address. It is not called as long as others
	// may be up that this VM has not heard of.
	SetFleet(self netip.AddrPort, others []netip.AddrPort)
	// Pace returns what an endpoint last said to this VM about how long work takes.
	Pace(id traffic.EndpointID) schedule.Pace
	// UpdatePace receives what another VM heard from an endpoint.
	UpdatePace(id traffic.EndpointID, p schedule.Pace)
	// OwnWork returns the work of this VM, by data centre of the endpoints.
	OwnWork() (seq uint64, byDataCentre map[string]map[traffic.EndpointID]schedule.Work)
	// CombinedWork returns the combined work of this VM and others, except on endpoints of one
	// data centre.
	CombinedWork(others []ident.VM, except string) map[traffic.EndpointID]schedule.Work
	// SetPeerOrder receives this VM and its live direct peers, sorted the same way on all of them, the
	// index of this VM, and the number of subsets that they are divided into.
	SetPeerOrder(order []ident.VM, self, subsets int)
	// SetRemoteReportsDelayed is called with true if VMs of other data centres report their work only
	// in digests, and so with a delay.
	SetRemoteReportsDelayed(delayed bool)
}

// Plans receives the counters that other VMs keep for plans and the retry budget, and reports
// those of this VM.
type Plans interface {
	RetryBudget
	// AddFromPeer receives how far a counter of another VM has grown since that VM's previous report.
	AddFromPeer(c admission.CounterKey, n int64)
	// OwnTotals returns the counters of this VM since it started.
	OwnTotals() map[admission.CounterKey]int64
	// NeedsWindow reports whether a VM that lived through the window should still be asked for it.
	NeedsWindow() bool
	// KnowsRecords reports whether this VM knows the usage before its start from records, and needs no other VM
	// that has started to tell it.
	KnowsRecords() bool
	// WindowState returns what this VM knows of the usage in the current plan window. ok is false if
	// it does not know all of it.
	WindowState() (state admission.WindowState, ok bool)
	// AdoptWindow receives what another VM knows of the usage in the current plan window.
	AdoptWindow(state admission.WindowState)
	// SetDataCentreUsage receives what the VMs of another data centre admitted in the current plan window.
	SetDataCentreUsage(dataCentre string, tokens map[string]int64)
	// WindowUsage returns what this VM and its direct peers admitted in the current plan window.
	WindowUsage() map[string]int64
	// SetFleetShares receives the shares of the fleet and of plans that belong to the live VMs.
	SetFleetShares(p admission.FleetShares)
	// SetFormerStart receives what the registry tells of the process before.
	SetFormerStart(f admission.FormerStart)
	// StartMatters reports whether the next process on this VM has to know of the start of this one.
	StartMatters() bool
}

// Documents holds the documents that VMs share. They are numbered from 0, the same on all VMs.
type Documents interface {
	// Versions returns the version of each document, number 0 for none.
	Versions() []traffic.DocumentVersion
	// NeedsVersion reports whether a version that another VM has is newer than the local one.
	NeedsVersion(document int, version traffic.DocumentVersion) bool
	// Encode encodes a document.
	Encode(document int) (version traffic.DocumentVersion, body []byte, err error)
	// Apply receives a document of an era from another VM, which the store is known to have held at asOf.
	Apply(document int, era uint64, body []byte, asOf clock.Instant, from string) error
	// Freshness returns the versions of the documents and as of when the store is known to have held them.
	Freshness() traffic.Freshness
	// Confirm receives the Freshness of another VM.
	Confirm(f traffic.Freshness)
}

// Quarantine holds what VMs know about prompts that crash engines.
type Quarantine interface {
	// State returns all that this VM knows.
	State() quarantine.State
	// Fingerprint returns a value that is the same on VMs that know the same crashes.
	Fingerprint() uint64
	// Merge receives what another VM knows, all of it if complete is set.
	Merge(s quarantine.State, complete bool, from string)
}
