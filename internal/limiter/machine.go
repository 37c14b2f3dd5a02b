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
	// stalePeriod is the least time between reads of a record that seems out of date.
	stalePeriod = time.Second
	// listPeriod is the time between reads of the platform's list while a holder is missing.
	listPeriod = 2 * time.Second
	// layoutPeriod is the time between reads of the other data centres' records.
	layoutPeriod = 30 * time.Second
	// rebalanceDelay is how long another VM must have been the preferred holder of a shard
	// before it gets the shard.
	rebalanceDelay = 5 * time.Second
)

// Inputs of the holder machine.
type (
	// reserveIn is a reserve request; Call identifies the reply.
	reserveIn struct {
		Call uint64
		From ident.VM
		Req  reserveRequest
	}
	// settleIn is a batch of settlements of one requester.
	settleIn struct {
		From  ident.VM
		Batch settleBatch
	}
	// tickIn marks the passing of time, with the present view and configuration.
	tickIn struct {
		View     *membership.View
		Snapshot *configuration.Snapshot
	}
	// recordIn is this data centre's record, read or pushed. Verify is the number of the
	// check that the read answers, 0 for a pushed record. A nil Record was not found.
	recordIn struct {
		Record  *record
		Version uint64
		Verify  uint64
	}
	// readFailedIn: the platform did not answer a read of the record.
	readFailedIn struct{ Verify uint64 }
	// peersIn: all live peers of the data centre answered a check; Version is the highest
	// record version that one of them applies.
	peersIn struct {
		Version uint64
		Verify  uint64
	}
	// writtenIn is the outcome of a write.
	writtenIn struct {
		Outcome writeOutcome
		Version uint64
	}
	// listIn is the platform's list of VM names.
	listIn struct{ Names map[string]bool }
	// othersIn holds the records of the other data centres that have one, as read while
	// this data centre's record was at Version.
	othersIn struct {
		Records map[string]*record
		Version uint64
	}
	// handoverIn brings the balances of shards handed over.
	handoverIn struct{ Balances []balance }
	// ackIn: a VM applies the record of a version.
	ackIn struct {
		VM      ident.VM
		Version uint64
	}
	// stopIn begins a planned stop.
	stopIn struct{}
	// staleIn: a call to a holder of the present record failed.
	staleIn struct{}
	// statusIn asks for a statusOut.
	statusIn struct{ Call uint64 }
)

// writeOutcome is how a conditional update ended.
type writeOutcome uint8

const (
	writeDone writeOutcome = iota + 1
	writeConflict
	// writeUnknown: no answer; the write may have taken effect.
	writeUnknown
)

// Actions of the holder machine.
type (
	// replyOut answers a reserveIn.
	replyOut struct {
		Call  uint64
		Reply reserveReply
	}
	// readRecordOut asks for a recordIn or readFailedIn with Verify.
	readRecordOut struct{ Verify uint64 }
	// askPeersOut asks all other live VMs of the data centre for the record version that
	// they apply; if all answer, a peersIn follows.
	askPeersOut struct{ Verify uint64 }
	// writeRecordOut asks for a conditional update and a writtenIn.
	writeRecordOut struct {
		Record    *record
		IfVersion uint64
	}
	// readListOut asks for a listIn.
	readListOut struct{}
	// readOthersOut asks for an othersIn.
	readOthersOut struct{ Version uint64 }
	// announceOut pushes the record to VMs of the data centre; ackIns follow.
	announceOut struct {
		Record  *record
		Version uint64
		To      []ident.VM
	}
	// handoverOut sends balances to a shard's next holder.
	handoverOut struct {
		To       ident.VM
		Balances []balance
	}
	// forwardOut passes settlements on to the present holder.
	forwardOut struct {
		To    ident.VM
		Batch settleBatch
	}
	// recordOut tells the requester side which record is in force.
	recordOut struct {
		Record  *record
		Version uint64
	}
	// statusOut answers a statusIn.
	statusOut struct {
		Call   uint64
		Shares []ShareStatus
		// Leaving is the number of shards that other VMs are to take over.
		Leaving int
	}
	// noticeOut is an event for the log.
	noticeOut struct {
		Event string
		Shard int
		Term  uint64
		VM    ident.VM
	}
)

type (
	input  any
	action any
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
