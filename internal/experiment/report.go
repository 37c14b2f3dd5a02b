package experiment

import "time"

// Quantiles are of times in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// WorkspaceReport is how one workspace fared.
type WorkspaceReport struct {
	Name string `json:"name"`
	// Offered counts its measured calls, WithinPlan those that one exact bucket admits.
	Offered    int `json:"offered"`
	WithinPlan int `json:"within_plan"`
	// Good counts whole answers within all targets, of calls within plan.
	Good int `json:"good"`
	// Goodput is Good as a share of WithinPlan.
	Goodput float64 `json:"goodput"`
	// Behaved is set when all its calls were within plan.
	Behaved          bool `json:"behaved"`
	WrongfulRefusals int  `json:"wrongful_refusals"`
	// RefusedWithTokensLeft is explained at the function of that name.
	RefusedWithTokensLeft int `json:"refused_with_tokens_left"`
	OverspendTokens       int `json:"overspend_tokens"`
}

// EngineTotals are sums over all engines.
type EngineTotals struct {
	PrefillTokens        int64 `json:"prefill_tokens"`
	PrefillTokensDecoded int64 `json:"prefill_tokens_decoded"`
	DecodedTokens        int64 `json:"decoded_tokens"`
}

// DaemonUsage is what one daemon used.
type DaemonUsage struct {
	VM string `json:"vm"`
	// CPUShare is processor time as a share of one core.
	CPUShare float64 `json:"cpu_share"`
	// PeakRSSBytes is the most resident memory.
	PeakRSSBytes int64 `json:"peak_rss_bytes"`
	// ControlBytesPerSecond is what it sent to other VMs.
	ControlBytesPerSecond float64 `json:"control_bytes_per_second"`
}

// Audit counts what must never happen. All must be 0.
type Audit struct {
	OverspendTokens int `json:"overspend_tokens"`
	CorruptAnswers  int `json:"corrupt_answers"`
	DoubledCommits  int `json:"doubled_commits"`
	// PhantomCommits were answered as done, but never ran.
	PhantomCommits int `json:"phantom_commits"`
	UntrueNotRun   int `json:"untrue_not_run"`
	HeldMemory     int `json:"held_memory"`
	// LeakedCredentials counts calls with a caller's credentials that reached an endpoint.
	LeakedCredentials int `json:"leaked_credentials"`
	// LateKeyUses counts whole answers to keys that were withdrawn WithdrawalLimit before.
	LateKeyUses int `json:"late_key_uses"`
	// UncleanStops counts daemons that did not stop with exit code 0.
	UncleanStops int      `json:"unclean_stops"`
	Examples     []string `json:"examples,omitempty"`
}

// MaxWithdrawalDelay is the time after which a withdrawn key must not work.
const MaxWithdrawalDelay = 4 * time.Second

// Clean reports whether nothing happened that must not.
func (a Audit) Clean() bool {
	return a.OverspendTokens+a.CorruptAnswers+a.DoubledCommits+a.PhantomCommits+a.UntrueNotRun+
		a.HeldMemory+a.LeakedCredentials+a.LateKeyUses+a.UncleanStops == 0
}

const maxExamples = 10

// AddExample adds an example of what went wrong.
func (a *Audit) AddExample(example string) {
	if len(a.Examples) < maxExamples {
		a.Examples = append(a.Examples, example)
	}
}

// BinSeconds is the length of one Bin.
const BinSeconds = 2

// Bin is a part of a run, by the time at which calls were sent.
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
	// ChatsPerSecond is the rate of chats that arrived.
	ChatsPerSecond float64 `json:"chats_per_second"`
	Offered        int     `json:"offered"`
	WithinPlan     int     `json:"within_plan"`
	// Goodput is whole answers within all targets over calls within plan.
	Goodput float64 `json:"goodput"`
	// ChatGoodput counts chats only.
	ChatGoodput float64 `json:"chat_goodput"`
	// WastedPrefill is prefill tokens whose result was never decoded to the end, over all.
	WastedPrefill float64 `json:"wasted_prefill"`
	// WorstWorkspace is the lowest goodput among workspaces that kept within plan.
	WorstWorkspace     float64 `json:"worst_workspace"`
	WorstWorkspaceName string  `json:"worst_workspace_name"`
	// WrongfulRefusals were within plan, and not forced by capacity.
	WrongfulRefusals int `json:"wrongful_refusals"`
	// RefusedWithTokensLeft is explained at the function of that name.
	RefusedWithTokensLeft int `json:"refused_with_tokens_left"`
	// CapacityRefusals were within plan, and refused as overloaded or out of reach of a target.
	CapacityRefusals int `json:"capacity_refusals"`
	// Misses counts the calls within plan that were not good, by cause.
	Misses map[string]int `json:"misses"`
	// Timeline shows when the misses happened.
	Timeline   []Bin             `json:"timeline"`
	FirstToken Quantiles         `json:"first_token"`
	Gap        Quantiles         `json:"gap"`
	Plain      Quantiles         `json:"plain"`
	Workspaces []WorkspaceReport `json:"workspaces"`
	Engines    EngineTotals      `json:"engines"`
	// PlatformCalls counts by kind over the whole run, PlatformCallsPerSecond all of them.
	PlatformCalls          map[string]int64 `json:"platform_calls"`
	PlatformCallsPerSecond float64          `json:"platform_calls_per_second"`
	Daemons                []DaemonUsage    `json:"daemons"`
	Audit                  Audit            `json:"audit"`
}
