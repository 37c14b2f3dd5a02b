package peer

// Kind identifies the subsystem and purpose of a message. The number of a kind never changes.
type Kind uint8

// The kinds of message.
const (
	// KindMembership carries heartbeats, failure reports and leave notices.
	KindMembership Kind = 1
	// KindConfiguration carries configuration versions and deltas.
	KindConfiguration Kind = 2
	// KindKeys carries API key deltas and withdrawals.
	KindKeys Kind = 3
	// KindLimiterReserve requests a reservation from the VM that holds a limiter share.
	KindLimiterReserve Kind = 4
	// KindLimiterSettle carries batched refunds.
	KindLimiterSettle Kind = 5
	// KindLimiterHandover carries the limiter's control messages: records of shard holders and queries
	// for them, balances of shards that are handed over, and reclaim requests.
	KindLimiterHandover Kind = 6
	// KindPlace is a placement request to the owner of a cell.
	KindPlace Kind = 7
	// KindPlaceUpdate carries batched progress and releases of placements.
	KindPlaceUpdate Kind = 8
	// KindPlaceReassign requests another endpoint for a placed request.
	KindPlaceReassign Kind = 9
	// KindLiveRequests asks which of the listed requests are live.
	KindLiveRequests Kind = 10
	// KindLedgerBegin records the intent of a commit.
	KindLedgerBegin Kind = 11
	// KindLedgerFinish records the outcome of a commit.
	KindLedgerFinish Kind = 12
	// KindOperator forwards an operator's command or query to another VM.
	KindOperator Kind = 13
	// KindSummary carries summaries of cells.
	KindSummary Kind = 14
	// KindHeartbeat is a VM's heartbeat with all its assigned work and admitted usage.
	KindHeartbeat Kind = 15
	// KindWork carries a VM's current work per endpoint.
	KindWork Kind = 16
	// KindEndpointFailure reports that an endpoint aborted a request or was found dead.
	KindEndpointFailure Kind = 17
	// KindDocument requests a newer configuration document.
	KindDocument Kind = 18
	// KindDigest carries the heartbeats of a data centre's VMs to another data centre.
	KindDigest Kind = 19
	// KindPlanWindow requests the usage in the current plan window.
	KindPlanWindow Kind = 20
	// KindQuarantine carries news about prompts that crash engines.
	KindQuarantine Kind = 21
	// KindQuarantineState requests all that a VM knows about them.
	KindQuarantineState Kind = 22
	// KindEndpointLimit reports that an endpoint names another rate limit, or none any more.
	KindEndpointLimit Kind = 23
	// KindStreamOrigins reports where streams began.
	KindStreamOrigins Kind = 24
	// KindStreamOrigin asks where a stream began.
	KindStreamOrigin Kind = 25
	// KindStreamOriginState requests all that a VM knows of where streams began.
	KindStreamOriginState Kind = 26
	// KindReach asks whether a VM reaches endpoints.
	KindReach Kind = 27
	// KindForward is a stream with a request to an endpoint that another VM is to send.
	KindForward Kind = 28
	// KindOpenStreams carries the open streams of a VM to the one that keeps them in the store.
	KindOpenStreams Kind = 29
	// KindRetryGrant asks a VM for a part of its retry budget.
	KindRetryGrant Kind = 30
)
