package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/membership"
)

// Timing of share holders.
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
		Batch SettleBatch
	}
	// TickIn signals the passage of time and carries the current view and configuration.
	TickIn struct {
		View     *membership.View
		Snapshot *configuration.Snapshot
	}
	// RecordIn is this data centre's record, as read from the platform or received from another
	// VM. Verify is the ID of the check that the read belongs to, or 0. Record is nil if the
	// object does not exist.
	RecordIn struct {
		Record  *Record
		Version uint64
		Verify  uint64
	}
	// ReadFailedIn reports that the platform did not return the record.
	ReadFailedIn struct{ Verify uint64 }
	// PeersIn reports that a check was answered by the peers in the data centre. Version is the
	// highest record version applied by any of them.
	PeersIn struct {
		Version uint64
		Verify  uint64
	}
	// WrittenIn is the result of a write.
	WrittenIn struct {
		Outcome writeOutcome
		Version uint64
	}
	// ListIn is the platform's list of VM names.
	ListIn struct{ Names map[string]bool }
	// OthersIn contains the existing records of the other data centres, as read while this data
	// centre's record was at Version.
	OthersIn struct {
		Records map[string]*Record
		Version uint64
	}
	// FirstLayoutIn is the initial layout of the fleet.
	FirstLayoutIn struct{ Layout Layout }
	// HandoverIn contains the balances of shards that are being handed over.
	HandoverIn struct{ Balances []bucketState }
	// AckIn reports that a VM applies a version of the record.
	AckIn struct {
		VM      ident.VM
		Version uint64
	}
	// StopIn starts a planned stop.
	StopIn struct{}
	// StaleIn reports that a call to a holder listed in the current record failed.
	StaleIn struct{}
	// RecoverIn requests tokens that this VM's shares lost at their burst limit.
	RecoverIn struct {
		Call  uint64
		Items []RecoverItem
	}
	// RecoveredIn is the reply to a RecoverOut, with the tokens received for each item.
	RecoveredIn struct {
		Number uint64
		Tokens []int64
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
	// ReadRecordOut requests a RecordIn or ReadFailedIn with the same Verify.
	ReadRecordOut struct{ Verify uint64 }
	// AskPeersOut queries the other VMs of the data centre for the record version that they
	// apply. A PeersIn follows unless a VM that should be live does not reply.
	AskPeersOut struct{ Verify uint64 }
	// WriteRecordOut requests a conditional update and a WrittenIn.
	WriteRecordOut struct {
		Record    *Record
		IfVersion uint64
	}
	// ReadListOut requests a ListIn.
	ReadListOut struct{}
	// ReadOthersOut requests an OthersIn.
	ReadOthersOut struct{ Version uint64 }
	// FirstLayoutOut requests a FirstLayoutIn. Layout is stored if there is no initial layout
	// yet.
	FirstLayoutOut struct{ Layout Layout }
	// AnnounceOut sends the record to VMs of the data centre. Their replies arrive as AckIn.
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
	// ForwardOut forwards settlements to the current holder.
	ForwardOut struct {
		To    ident.VM
		Batch SettleBatch
	}
	// RecordOut passes the record in force to the requester side.
	RecordOut struct {
		Record  *Record
		Version uint64
	}
	// StatusOut is the reply to a StatusIn.
	StatusOut struct {
		Call   uint64
		Shares []ShareStatus
		// Leaving is the number of shards that still have to be handed over to other VMs.
		Leaving int
	}
	// RecoverOut requests a RecoveredIn from a shard's holder in another data centre.
	RecoverOut struct {
		Number     uint64
		DataCentre string
		Shard      int
		Items      []RecoverItem
	}
	// RecoveredOut is the reply to a RecoverIn.
	RecoveredOut struct {
		Call   uint64
		Tokens []int64
	}
	// NoticeOut is an event to be logged.
	NoticeOut struct {
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
