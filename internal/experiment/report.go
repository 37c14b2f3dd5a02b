package experiment

import "time"

// Quantiles summarizes a latency distribution in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// WorkspaceReport contains the results of one workspace.
type WorkspaceReport struct {
	Name string `json:"name"`
	// Offered counts the measured calls, WithinPlan those that one central token bucket with the
	// workspace's plan would admit.
	Offered    int `json:"offered"`
	WithinPlan int `json:"within_plan"`
	// Good counts the calls within plan whose answer was complete and met all latency targets.
	Good int `json:"good"`
	// Goodput is the ratio of Good to WithinPlan.
	Goodput float64 `json:"goodput"`
	// StayedWithinPlan is set if all calls were within plan.
	StayedWithinPlan bool `json:"behaved"`
	// WrongfulRefusals counts the calls within plan that were refused for a reason other than capacity.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// RefusedWithTokensLeft counts the calls that were refused as over plan although the workspace had
	// enough tokens left.
	RefusedWithTokensLeft int `json:"refused_with_tokens_left"`
	// OverspendTokens is the number of tokens used beyond the rate and burst of the plan.
	OverspendTokens int `json:"overspend_tokens"`
}

// EngineTotals contains sums over all engines. PrefillTokensDecoded counts the prefilled tokens of calls
// whose answer was decoded completely.
type EngineTotals struct {
	PrefillTokens        int64 `json:"prefill_tokens"`
	PrefillTokensDecoded int64 `json:"prefill_tokens_decoded"`
	DecodedTokens        int64 `json:"decoded_tokens"`
}

// DaemonUsage is the resource usage of one daemon.
type DaemonUsage struct {
	VM string `json:"vm"`
	// CPUShare is the CPU time as a fraction of one core.
	CPUShare float64 `json:"cpu_share"`
	// PeakRSSBytes is the peak resident set size.
	PeakRSSBytes int64 `json:"peak_rss_bytes"`
	// PeerBytesPerSecond is the number of bytes sent to other VMs per second.
	PeerBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Audit counts violations of invariants. All counters must be 0.
type Audit struct {
	// OverspendTokens is the number of tokens that workspaces used beyond the rate and burst of their
	// plans.
	OverspendTokens int `json:"overspend_tokens"`
	// CorruptAnswers counts answers with a token that is missing, repeated or from another call.
	CorruptAnswers int `json:"corrupt_answers"`
	// DoubledCommits counts commits that were executed more than once.
	DoubledCommits int `json:"doubled_commits"`
	// UnexecutedCommits counts commits that were answered successfully but never executed.
	UnexecutedCommits int `json:"phantom_commits"`
	// FalseNotExecuted counts calls that were reported as not executed although an endpoint received
	// them.
	FalseNotExecuted int `json:"untrue_not_run"`
	// HeldMemory counts KV allocations that engines did not release after the last call.
	HeldMemory int `json:"held_memory"`
	// LeakedCredentials counts calls that reached an endpoint with the credentials of a caller.
	LeakedCredentials int `json:"leaked_credentials"`
	// LateKeyUses counts completed calls sent more than MaxWithdrawalDelay after their key was withdrawn.
	LateKeyUses int `json:"late_key_uses"`
	// UncleanStops counts runs in which a daemon did not stop with exit code 0.
	UncleanStops int      `json:"unclean_stops"`
	Examples     []string `json:"examples,omitempty"`
}

// MaxWithdrawalDelay is the time after which a withdrawn key must be rejected.
const MaxWithdrawalDelay = 4 * time.Second

// Clean reports whether the audit found no violations.
func (a Audit) Clean() bool {
	return a.OverspendTokens+a.CorruptAnswers+a.DoubledCommits+a.UnexecutedCommits+a.FalseNotExecuted+
		a.HeldMemory+a.LeakedCredentials+a.LateKeyUses+a.UncleanStops == 0
}

const maxExamples = 10

// AddExample records a description of a violation, up to maxExamples.
func (a *Audit) AddExample(example string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, example)
	}
}

// BinSeconds is the duration of a Bin.
const BinSeconds = 2

// Bin counts the calls that were sent during one interval of a run.
type Bin struct {
	FromSeconds int            `json:"from_seconds"`
	WithinPlan  int            `json:"within_plan"`
	Good        int            `json:"good"`
	Misses      map[string]int `json:"misses,omitempty"`
}

// Report is the result of one run.
type Report struct {
	Policy string  `json:"policy"`
	Layout string  `json:"layout"`
	Load   float64 `json:"load"`
	Seed   uint64  `json:"seed"`
	// ChatsPerSecond is the arrival rate of chats.
	ChatsPerSecond float64 `json:"chats_per_second"`
	Offered        int     `json:"offered"`
	WithinPlan     int     `json:"within_plan"`
	// Goodput is the fraction of the calls within plan whose answer was complete and met all latency
	// targets.
	Goodput float64 `json:"goodput"`
	// ChatGoodput is the goodput of chats only.
	ChatGoodput float64 `json:"chat_goodput"`
	// WastedPrefill is the fraction of prefilled tokens that belong to calls whose answer was not decoded
	// completely.
	WastedPrefill float64 `json:"wasted_prefill"`
	// WorstWorkspaceGoodput is the lowest goodput of the workspaces that stayed within plan.
	WorstWorkspaceGoodput float64 `json:"worst_workspace"`
	WorstWorkspaceName    string  `json:"worst_workspace_name"`
	// WrongfulRefusals counts the calls within plan that were refused for a reason other than capacity.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// RefusedWithTokensLeft counts the calls that were refused as over plan although the workspace had
	// enough tokens left.
	RefusedWithTokensLeft int `json:"refused_with_tokens_left"`
	// CapacityRefusals counts the calls within plan that were refused because the fleet was overloaded
	// or could not meet the latency target.
	CapacityRefusals int `json:"capacity_refusals"`
	// Misses counts the calls within plan that were not good, by kind of call and cause.
	Misses map[string]int `json:"misses"`
	// Timeline contains the calls within plan by the time at which they were sent.
	Timeline   []Bin             `json:"timeline"`
	FirstToken Quantiles         `json:"first_token"`
	Gap        Quantiles         `json:"gap"`
	Plain      Quantiles         `json:"plain"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	Engines    EngineTotals      `json:"engines"`
	// PlatformCalls counts the platform calls of the run by kind. PlatformCallsPerSecond is the rate of
	// all calls that the platform did not refuse.
	PlatformCalls          map[string]int64 `json:"platform_calls"`
	PlatformCallsPerSecond float64          `json:"platform_calls_per_second"`
	Daemons                []DaemonUsage    `json:"daemons"`
	Audit                  Audit            `json:"audit"`
}
