package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Timing of shard holders.
const (
	// tickPeriod is the interval between a holder's ticks.
	tickPeriod = 100 * time.Millisecond
	// PauseLimit is the longest gap between two steps after which a holder continues to grant
	// without checking that it still holds its shards.
	PauseLimit = 2 * time.Second
	// TakeoverGrace is how long a holder must have been gone before its shards are reassigned. It
	// exceeds PauseLimit, so that a holder that does not notice its own pause cannot overlap with
	// its successor.
	TakeoverGrace = 3 * time.Second
	// handoverTimeout is how long a new holder waits for the balances of the previous one.
	handoverTimeout = 2 * time.Second
	// tentativeTimeout is how long a tentative grant counts as undecided.
	tentativeTimeout = 400 * time.Millisecond
	// contentionWait is how long a request waits for undecided grants of other requests.
	contentionWait = 100 * time.Millisecond
	// refundRetention is how long an unsettled grant can still be refunded.
	refundRetention = 10 * time.Minute
	// removedRetention is how long the balance of a removed workspace is kept, so that removing
	// and re-adding the workspace does not refill its burst.
	removedRetention = time.Hour
	// recordPeriod is the minimum interval between a VM's reads of its own data centre's record.
	recordPeriod = 15 * time.Second
	// retryPeriod is the interval between the attempts of an urgent platform call.
	retryPeriod = 500 * time.Millisecond
	// stalePeriod is the minimum interval between a VM's reads of its own record after a failed
	// call to a holder. peerStalePeriod is the minimum interval between fetches of another data
	// centre's record.
	stalePeriod     = 5 * time.Second
	peerStalePeriod = time.Second
	// listPeriod is the interval between reads of the platform's VM list while a holder is
	// unreachable.
	listPeriod = 2 * time.Second
	// layoutPeriod is the interval between reads of the other data centres' records.
	layoutPeriod = 30 * time.Second
	// reclaimPeriod is the minimum interval between the reclaim requests of a shard. In large
	// fleets the interval is reclaimPeriodPerVM times the number of VMs, to bound the traffic.
	reclaimPeriod      = 100 * time.Millisecond
	reclaimPeriodPerVM = 2500 * time.Microsecond
	// rebalanceDelay is how long another VM must have been the preferred holder of a shard before
	// the shard is handed over to it.
	rebalanceDelay = 5 * time.Second
)

// Inputs of the holder state machine.
type (
	// ReserveIn is a reserve request. Call identifies the reply.
	ReserveIn struct {
		Call uint64
		From ident.VM
		Req  ReserveRequest
	}
	// SettleIn is a batch of settlements from one requester.
	SettleIn struct {
		From  ident.VM
		Batch SettlementBatch
	}
	// TickIn signals the passage of time and carries the current view and configuration.
	TickIn struct {
		View     *membership.View
		Snapshot *configuration.Snapshot
	}
	// RecordIn is this data centre's record, as read from the platform or received from another
	// VM. CheckID is the ID of the check that the read belongs to, or 0. Record is nil if the
	// object does not exist.
	RecordIn struct {
		Record  *Record
		Version uint64
		CheckID uint64
	}
	// ReadFailedIn reports that the platform did not return the record.
	ReadFailedIn struct{ CheckID uint64 }
	// PeerVersionsIn reports that a check was answered by the peers in the data centre. Version is
	// the highest record version applied by any of them.
	PeerVersionsIn struct {
		Version uint64
		CheckID uint64
	}
	// WriteResultIn is the result of a write.
	WriteResultIn struct {
		Outcome writeOutcome
		Version uint64
	}
	// VMListIn is the platform's list of VM names.
	VMListIn struct{ Names map[string]bool }
	// OtherRecordsIn contains the existing records of the other data centres, as read while this
	// data centre's record was at Version.
	OtherRecordsIn struct {
		Records map[string]*Record
		Version uint64
	}
	// FirstLayoutIn is the initial layout of the fleet.
	FirstLayoutIn struct{ Layout Layout }
	// HandoverIn contains the balances of shards that are being handed over.
	HandoverIn struct{ Balances []bucketState }
	// RecordAckIn reports that a VM applies a version of the record.
	RecordAckIn struct {
		VM      ident.VM
		Version uint64
	}
	// StopIn starts a graceful shutdown.
	StopIn struct{}
	// RecordStaleIn reports that a call to a holder listed in the current record failed.
	RecordStaleIn struct{}
	// ReclaimIn requests tokens that this VM's shares lost at their burst limit.
	ReclaimIn struct {
		Call  uint64
		Items []ReclaimItem
	}
	// ReclaimedIn is the reply to a ReclaimOut, with the tokens received for each item.
	ReclaimedIn struct {
		ReclaimID uint64
		Tokens    []int64
	}
	// StatusIn requests a StatusOut.
	StatusIn struct{ Call uint64 }
)

// writeOutcome is the outcome of a conditional update.
type writeOutcome uint8

const (
	WriteDone writeOutcome = iota + 1
	WriteConflict
	// WriteUnknown means that no reply arrived. The write may have taken effect.
	WriteUnknown
)

// Actions of the holder state machine.
type (
	// ReplyOut is the reply to a ReserveIn.
	ReplyOut struct {
		Call  uint64
		Reply ReserveReply
	}
	// ReadRecordOut requests a RecordIn or ReadFailedIn with the same CheckID.
	ReadRecordOut struct{ CheckID uint64 }
	// QueryPeersOut queries the other VMs of the data centre for the record version that they
	// apply. A PeerVersionsIn follows unless a VM that is not suspected, or every VM, fails to
	// reply.
	QueryPeersOut struct{ CheckID uint64 }
	// WriteRecordOut requests a conditional update and a WriteResultIn.
	WriteRecordOut struct {
		Record    *Record
		IfVersion uint64
	}
	// ReadVMListOut requests a VMListIn.
	ReadVMListOut struct{}
	// ReadOtherRecordsOut requests an OtherRecordsIn.
	ReadOtherRecordsOut struct{ Version uint64 }
	// EnsureFirstLayoutOut requests a FirstLayoutIn. Layout is stored if there is no initial layout
	// yet.
	EnsureFirstLayoutOut struct{ Layout Layout }
	// AnnounceOut sends the record to VMs of the data centre. Their replies arrive as RecordAckIn.
	AnnounceOut struct {
		Record  *Record
		Version uint64
		To      []ident.VM
	}
	// HandoverOut sends balances to a shard's next holder.
	HandoverOut struct {
		To       ident.VM
		Balances []bucketState
	}
	// ForwardSettlementsOut forwards settlements to the current holder.
	ForwardSettlementsOut struct {
		To    ident.VM
		Batch SettlementBatch
	}
	// RecordAppliedOut passes the record in force to the requester side.
	RecordAppliedOut struct {
		Record  *Record
		Version uint64
	}
	// StatusOut is the reply to a StatusIn.
	StatusOut struct {
		Call   uint64
		Shares []ShareStatus
		// HandoversPending is the number of shards that still have to be handed over to other VMs.
		HandoversPending int
	}
	// ReclaimOut requests a ReclaimedIn from a shard's holder in another data centre.
	ReclaimOut struct {
		ReclaimID  uint64
		DataCentre string
		Shard      int
		Items      []ReclaimItem
	}
	// ReclaimedOut is the reply to a ReclaimIn.
	ReclaimedOut struct {
		Call   uint64
		Tokens []int64
	}
	// EventOut is an event to be logged.
	EventOut struct {
		Event string
		Shard int
		Term  uint64
		VM    ident.VM
	}
)

type (
	// Input is one of the types whose names end in In.
	Input any
	// Action is one of the types whose names end in Out.
	Action any
)

// timer fires at most once per period.
type timer struct{ next clock.Instant }

func (t *timer) due(now clock.Instant, period time.Duration) bool {
	if now.Before(t.next) {
		return false
	}
	t.next = now.Add(period)
	return true
}
