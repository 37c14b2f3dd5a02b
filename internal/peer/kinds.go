package peer

// Kind tells which duty a message is for. A kind keeps its number for good.
type Kind uint8

// The kinds of message, by duty.
const (
	// KindMembership: heartbeats, liveness evidence and leave notices.
	KindMembership Kind = 1
	// KindConfiguration: configuration versions and deltas.
	KindConfiguration Kind = 2
	// KindKeys: key deltas and withdrawals.
	KindKeys Kind = 3
	// KindLimiterReserve: a reservation at a share holder.
	KindLimiterReserve Kind = 4
	// KindLimiterSettle: refunds, batched.
	KindLimiterSettle Kind = 5
	// KindLimiterHandover: balances of a share whose holder changes.
	KindLimiterHandover Kind = 6
	// KindPlace: a placement request to a cell's owner.
	KindPlace Kind = 7
	// KindPlaceUpdate: progress and release of placements, batched.
	KindPlaceUpdate Kind = 8
	// KindPlaceReassign: another endpoint for a placed request.
	KindPlaceReassign Kind = 9
	// KindLive: which of these requests are live?
	KindLive Kind = 10
	// KindLedgerBegin: the intent of a commit.
	KindLedgerBegin Kind = 11
	// KindLedgerFinish: the outcome of a commit.
	KindLedgerFinish Kind = 12
	// KindOperator: an operator's command or query handed to another VM.
	KindOperator Kind = 13
	// KindSummary: summaries of cells, spread between VMs.
	KindSummary Kind = 14
	// KindBeat: a VM's heartbeat with all that it holds and has admitted.
	KindBeat Kind = 15
	// KindWork: what a VM now holds at endpoints.
	KindWork Kind = 16
	// KindFailure: an endpoint broke off or was found dead.
	KindFailure Kind = 17
	// KindDocument: a newer document is asked for.
	KindDocument Kind = 18
	// KindDigest: the heartbeats of a data centre's VMs, for another data centre.
	KindDigest Kind = 19
)
