package experiment

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Spec is the content of an experiment file.
type Spec struct {
	// Name is the base name of the result files.
	Name string `toml:"name" json:"name"`
	// Layout is the name of the fleet layout.
	Layout string `toml:"layout" json:"layout"`
	// Loads are arrival rates of chats as fractions of the capacity of the fleet.
	Loads []float64 `toml:"loads" json:"loads"`
	// Seeds are the random seeds. Every load and policy is run once per seed.
	Seeds []uint64 `toml:"seeds" json:"seeds"`
	// DurationSeconds is the time during which calls arrive. The first WarmupSeconds are not measured.
	DurationSeconds float64 `toml:"duration_seconds" json:"duration_seconds"`
	WarmupSeconds   float64 `toml:"warmup_seconds" json:"warmup_seconds"`
	// MayWaitShare is the fraction of chats that have the class may_wait.
	MayWaitShare float64 `toml:"may_wait_share" json:"may_wait_share"`
	// ReadsPerChat and CommitsPerChat set the rates of calls to the plain service.
	ReadsPerChat   float64 `toml:"reads_per_chat" json:"reads_per_chat"`
	CommitsPerChat float64 `toml:"commits_per_chat" json:"commits_per_chat"`
	// PlanHeadroom is the sum of the rates of all plans relative to the demand at each load. If it is 0,
	// the plans of the layout are used unchanged. PlanBurstSeconds sets the burst of a scaled plan in
	// seconds of its rate.
	PlanHeadroom     float64 `toml:"plan_headroom" json:"plan_headroom"`
	PlanBurstSeconds float64 `toml:"plan_burst_seconds" json:"plan_burst_seconds"`
	// Balance is uniform, skewed (80% of the calls go to one VM) or moving (80% of the calls go to one
	// VM, which changes over time).
	Balance string `toml:"balance" json:"balance"`
	// Policies are the policies to compare. Their runs are interleaved.
	Policies []Policy `toml:"policies" json:"policies"`
	// Bursts are periods in which a workspace sends a multiple of its usual rate.
	Bursts []Burst `toml:"bursts" json:"bursts"`
	// Faults are injected while calls arrive.
	Faults []Fault `toml:"faults" json:"faults"`
}

// Policy selects the placement and limiter policies of a run.
type Policy struct {
	Name      string `toml:"name" json:"name"`
	Placement string `toml:"placement" json:"placement"`
	Limiter   string `toml:"limiter" json:"limiter"`
}

// Burst is a period in which one workspace sends Factor times its usual rate.
type Burst struct {
	// Workspace is the zero-based index of the workspace in the layout.
	Workspace   int     `toml:"workspace" json:"workspace"`
	Factor      float64 `toml:"factor" json:"factor"`
	FromSeconds float64 `toml:"from_seconds" json:"from_seconds"`
	ToSeconds   float64 `toml:"to_seconds" json:"to_seconds"`
}

// Fault is one scheduled fault.
type Fault struct {
	AtSeconds float64 `toml:"at_seconds" json:"at_seconds"`
	// Kind is an element of FaultKinds.
	Kind string `toml:"kind" json:"kind"`
	// Target is the name of a VM, data centre, endpoint or workspace, depending on the kind. Only kinds
	// that target a VM may leave it empty; each repetition then targets the next VM. FaultOutage
	// ignores it.
	Target string `toml:"target" json:"target"`
	// ForSeconds is the duration of the fault. If it is 0, the fault lasts until the end of the run. It
	// is ignored for FaultBlackholeConnections, FaultWithdraw and FaultDrain, which cannot be ended.
	ForSeconds float64 `toml:"for_seconds" json:"for_seconds"`
	// EverySeconds is the interval at which the fault is repeated. If it is 0, the fault occurs once.
	EverySeconds float64 `toml:"every_seconds" json:"every_seconds"`
}

// The kinds of fault.
const (
	// FaultKill kills the process of a VM and starts a new one when the fault ends.
	FaultKill = "kill"
	// FaultTerminate stops a VM gracefully and starts a new process when the fault ends.
	FaultTerminate = "terminate"
	// FaultPause suspends the process of a VM with SIGSTOP until the fault ends.
	FaultPause = "pause"
	// FaultPartition isolates a data centre from the other data centres and from the platform.
	FaultPartition = "cut"
	// FaultStallLink stops transfers over the link of an engine.
	FaultStallLink = "stall"
	// FaultOutage makes the platform refuse all calls.
	FaultOutage = "outage"
	// FaultBlackholeConnections stops all traffic on the connections that a data centre has open, without
	// closing them. They stay stalled until the end of the run. New connections work.
	FaultBlackholeConnections = "silence"
	// FaultHangEngine makes an engine stop responding while its connections stay open.
	FaultHangEngine = "engine_silence"
	// FaultWithdraw withdraws the API key of a workspace.
	FaultWithdraw = "withdraw"
	// FaultDrain marks an endpoint as leaving the fleet.
	FaultDrain = "drain"
)

// FaultKinds lists all valid kinds of fault.
var FaultKinds = []string{
	FaultKill, FaultTerminate, FaultPause, FaultPartition, FaultStallLink, FaultOutage, FaultBlackholeConnections, FaultHangEngine, FaultWithdraw, FaultDrain,
}

// Values of Spec.Balance.
const (
	BalanceUniform = "uniform"
	BalanceSkewed  = "skewed"
	BalanceMoving  = "moving"
)

// DefaultSpec returns the defaults for the keys that an experiment file omits.
func DefaultSpec() Spec {
	return Spec{
		Name: "experiment", Layout: "partilha", Loads: []float64{0.85}, Seeds: []uint64{1},
		DurationSeconds: 20, WarmupSeconds: 4, ReadsPerChat: 0.5, CommitsPerChat: 0.15, Balance: BalanceUniform,
		PlanBurstSeconds: 4,
		Policies:         []Policy{{Name: "default"}},
	}
}

// LoadSpec reads and validates an experiment file.
func LoadSpec(path string) (Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, fault.Wrap(err, fault.NotFound, "pass the path of a readable experiment file", "experiment")
	}
	return ParseSpec(raw)
}

// ParseSpec decodes and validates the content of an experiment file.
func ParseSpec(raw []byte) (Spec, error) {
	s := DefaultSpec()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Spec{}, fault.Wrap(err, fault.Malformed, "correct the TOML syntax and remove unknown keys", "decode experiment file")
	}
	return s, s.check()
}

func (s Spec) check() error {
	switch {
	case s.DurationSeconds <= s.WarmupSeconds || s.WarmupSeconds < 0:
		return specError("warmup_seconds must not be negative and must be less than duration_seconds")
	case s.PlanHeadroom < 0 || s.PlanBurstSeconds <= 0:
		return specError("plan_headroom must not be negative and plan_burst_seconds must be positive")
	case len(s.Loads) == 0 || len(s.Seeds) == 0 || len(s.Policies) == 0:
		return specError("loads, seeds and policies must not be empty")
	case slices.ContainsFunc(s.Loads, func(l float64) bool { return l <= 0 }):
		return specError("loads must be positive")
	case !slices.Contains([]string{BalanceUniform, BalanceSkewed, BalanceMoving}, s.Balance):
		return specError("balance must be uniform, skewed or moving")
	}
	for _, f := range s.Faults {
		if !slices.Contains(FaultKinds, f.Kind) {
			return specError(fmt.Sprintf("fault kind %q is not one of %v", f.Kind, FaultKinds))
		}
		if f.AtSeconds < 0 || f.ForSeconds < 0 || f.EverySeconds < 0 {
			return specError("times of faults must not be negative")
		}
	}
	return nil
}

func specError(message string) error {
	return fault.New(fault.Malformed, "correct the keys of the experiment file that the message names", message)
}

// Duration returns the time during which calls arrive.
func (s Spec) Duration() time.Duration { return Seconds(s.DurationSeconds) }

// Warmup returns the initial time that is not measured.
func (s Spec) Warmup() time.Duration { return Seconds(s.WarmupSeconds) }

// Seconds converts seconds to a time.Duration.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
