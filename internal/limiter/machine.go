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
	// tickPeriod is the time between a holder's ticks.
	tickPeriod = 100 * time.Millisecond
	// PauseLimit is the longest gap between two steps after which a holder grants on
	// without checking that it still holds its shards.
	PauseLimit = 2 * time.Second
	// TakeoverGrace is how long a holder must have been gone before its shards are taken.
	// It is above PauseLimit, so a holder paused unnoticed cannot overlap its successor.
	TakeoverGrace = 3 * time.Second
	// handoverWait is how long a new holder waits for the balances of the former one.
	handoverWait = 2 * time.Second
	// tentativeLimit is how long a part counts as undecided.
	tentativeLimit = 400 * time.Millisecond
	// partWait is how long a request waits for undecided parts of others.
	partWait = 100 * time.Millisecond
	// partLife is how long a part that is not settled keeps its right to a refund.
	partLife = 10 * time.Minute
	// removedLife is how long the balance of a removed workspace is kept, so that removing
	// and adding it again gains no burst.
	removedLife = time.Hour
	// recordPeriod is the time between a VM's reads of its own data centre's record.
	recordPeriod = 15 * time.Second
	// retryPeriod is the time between tries of a platform call that matters now.
	retryPeriod = 500 * time.Millisecond
	// stalePeriod is the least time between a VM's reads of a record that seems out of date
	// from the platform, and peerStalePeriod from the VMs of another data centre.
	stalePeriod     = 5 * time.Second
	peerStalePeriod = time.Second
	// listPeriod is the time between reads of the platform's list while a holder is missing.
	listPeriod = 2 * time.Second
	// layoutPeriod is the time between reads of the other data centres' records.
	layoutPeriod = 30 * time.Second
	// recoverPeriod is the least time between a shard's recover requests, and
	// recoverPeriodPerVM what it grows by with each VM of the fleet, to bound their bytes.
	recoverPeriod      = 100 * time.Millisecond
	recoverPeriodPerVM = 2500 * time.Microsecond
	// rebalanceDelay is how long another VM must have been the preferred holder of a shard
	// before it gets the shard.
	rebalanceDelay = 5 * time.Second
)

// Inputs of the holder machine.
type (
	// ReserveIn is a reserve request; Call identifies the reply.
	ReserveIn struct {
		Call uint64
		From ident.VM
		Req  ReserveRequest
	}
	// SettleIn is a batch of settlements of one requester.
	SettleIn struct {
		From  ident.VM
		Batch SettleBatch
	}
	// TickIn marks the passing of time, with the present view and configuration.
	TickIn struct {
		View     *membership.View
		Snapshot *configuration.Snapshot
	}
	// RecordIn is this data centre's record, read or pushed. Verify is the number of the
	// check that the read answers, 0 for a pushed record. A nil Record was not found.
	RecordIn struct {
		Record  *Record
		Version uint64
		Verify  uint64
	}
	// ReadFailedIn: the platform did not answer a read of the record.
	ReadFailedIn struct{ Verify uint64 }
	// PeersIn: all live peers of the data centre answered a check; Version is the highest
	// record version that one of them applies.
	PeersIn struct {
		Version uint64
		Verify  uint64
	}
	// WrittenIn is the outcome of a write.
	WrittenIn struct {
		Outcome writeOutcome
		Version uint64
	}
	// ListIn is the platform's list of VM names.
	ListIn struct{ Names map[string]bool }
	// OthersIn holds the records of the other data centres that have one, as read while
	// this data centre's record was at Version.
	OthersIn struct {
		Records map[string]*Record
		Version uint64
	}
	// FirstLayoutIn is the layout that the fleet began with.
	FirstLayoutIn struct{ Layout Layout }
	// HandoverIn brings the balances of shards handed over.
	HandoverIn struct{ Balances []balance }
	// AckIn: a VM applies the record of a version.
	AckIn struct {
		VM      ident.VM
		Version uint64
	}
	// StopIn begins a planned stop.
	StopIn struct{}
	// StaleIn: a call to a holder of the present record failed.
	StaleIn struct{}
	// RecoverIn asks this VM for what its shares lost at their caps.
	RecoverIn struct {
		Call  uint64
		Items []RecoverItem
	}
	// RecoveredIn answers a RecoverOut with the tokens got for each item.
	RecoveredIn struct {
		Number uint64
		Tokens []int64
	}
	// StatusIn asks for a StatusOut.
	StatusIn struct{ Call uint64 }
)

// writeOutcome is how a conditional update ended.
type writeOutcome uint8

const (
	WriteDone writeOutcome = iota + 1
	WriteConflict
	// WriteUnknown: no answer; the write may have taken effect.
	WriteUnknown
)

// Actions of the holder machine.
type (
	// ReplyOut answers a ReserveIn.
	ReplyOut struct {
		Call  uint64
		Reply ReserveReply
	}
	// ReadRecordOut asks for a RecordIn or ReadFailedIn with Verify.
	ReadRecordOut struct{ Verify uint64 }
	// AskPeersOut asks all other live VMs of the data centre for the record version that
	// they apply; if all answer, a PeersIn follows.
	AskPeersOut struct{ Verify uint64 }
	// WriteRecordOut asks for a conditional update and a WrittenIn.
	WriteRecordOut struct {
		Record    *Record
		IfVersion uint64
	}
	// ReadListOut asks for a ListIn.
	ReadListOut struct{}
	// ReadOthersOut asks for an OthersIn.
	ReadOthersOut struct{ Version uint64 }
	// FirstLayoutOut asks for a FirstLayoutIn; Layout is stored if there is none yet.
	FirstLayoutOut struct{ Layout Layout }
	// AnnounceOut pushes the record to VMs of the data centre; ackIns follow.
	AnnounceOut struct {
		Record  *Record
		Version uint64
		To      []ident.VM
	}
	// HandoverOut sends balances to a shard's next holder.
	HandoverOut struct {
		To       ident.VM
		Balances []balance
	}
	// ForwardOut passes settlements on to the present holder.
	ForwardOut struct {
		To    ident.VM
		Batch SettleBatch
	}
	// RecordOut tells the requester side which record is in force.
	RecordOut struct {
		Record  *Record
		Version uint64
	}
	// StatusOut answers a StatusIn.
	StatusOut struct {
		Call   uint64
		Shares []ShareStatus
		// Leaving is the number of shards that other VMs are to take over.
		Leaving int
	}
	// RecoverOut asks the holder of a shard in another data centre for a RecoveredIn.
	RecoverOut struct {
		Number     uint64
		DataCentre string
		Shard      int
		Items      []RecoverItem
	}
	// RecoveredOut answers a RecoverIn.
	RecoveredOut struct {
		Call   uint64
		Tokens []int64
	}
	// NoticeOut is an event for the log.
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

// timer fires at most once a period.
type timer struct{ next clock.Instant }

func (t *timer) due(now clock.Instant, period time.Duration) bool {
	if now.Before(t.next) {
		return false
	}
	t.next = now.Add(period)
	return true
}
