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

// Spec is an experiment file.
type Spec struct {
	// Name names the results.
	Name string `toml:"name" json:"name"`
	// Layout is the fleet's layout.
	Layout string `toml:"layout" json:"layout"`
	// Loads are arrival rates of chats as shares of the fleet's capacity.
	Loads []float64 `toml:"loads" json:"loads"`
	// Seeds give one run each for every load and policy.
	Seeds []uint64 `toml:"seeds" json:"seeds"`
	// DurationSeconds is the time of arrivals; WarmupSeconds at its start are not measured.
	DurationSeconds float64 `toml:"duration_seconds" json:"duration_seconds"`
	WarmupSeconds   float64 `toml:"warmup_seconds" json:"warmup_seconds"`
	// MayWaitShare is the part of chats that may wait.
	MayWaitShare float64 `toml:"may_wait_share" json:"may_wait_share"`
	// ReadsPerChat and CommitsPerChat set the calls to the plain service.
	ReadsPerChat   float64 `toml:"reads_per_chat" json:"reads_per_chat"`
	CommitsPerChat float64 `toml:"commits_per_chat" json:"commits_per_chat"`
	// PlanHeadroom sets the sum of all plans' rates relative to the demand at each load, with
	// bursts of PlanBurstSeconds; 0 keeps the layout's plans.
	PlanHeadroom     float64 `toml:"plan_headroom" json:"plan_headroom"`
	PlanBurstSeconds float64 `toml:"plan_burst_seconds" json:"plan_burst_seconds"`
	// Balance is uniform, skewed (80% to one VM) or moving (80% to a VM that changes).
	Balance string `toml:"balance" json:"balance"`
	// Policies are compared, interleaved run by run.
	Policies []Policy `toml:"policies" json:"policies"`
	// Bursts are times at which a workspace sends several times its part.
	Bursts []Burst `toml:"bursts" json:"bursts"`
	// Faults are caused while the load runs.
	Faults []Fault `toml:"faults" json:"faults"`
}

// Policy names the decision policies of one side of a comparison.
type Policy struct {
	Name      string `toml:"name" json:"name"`
	Placement string `toml:"placement" json:"placement"`
	Limiter   string `toml:"limiter" json:"limiter"`
}

// Burst is a time of heavier demand by one workspace.
type Burst struct {
	// Workspace is its number in the layout, from 0.
	Workspace   int     `toml:"workspace" json:"workspace"`
	Factor      float64 `toml:"factor" json:"factor"`
	FromSeconds float64 `toml:"from_seconds" json:"from_seconds"`
	ToSeconds   float64 `toml:"to_seconds" json:"to_seconds"`
}

// Fault is one fault of the script.
type Fault struct {
	AtSeconds float64 `toml:"at_seconds" json:"at_seconds"`
	// Kind is one of FaultKinds.
	Kind string `toml:"kind" json:"kind"`
	// Target is a VM, a data centre, an endpoint or a workspace, as the kind needs.
	Target string `toml:"target" json:"target"`
	// ForSeconds is when the fault ends; 0 leaves it until the end of the run.
	ForSeconds float64 `toml:"for_seconds" json:"for_seconds"`
	// EverySeconds repeats the fault, each time at the next VM; 0 does not.
	EverySeconds float64 `toml:"every_seconds" json:"every_seconds"`
}

// The kinds of fault.
const (
	// FaultKill ends a VM's process; it is replaced when the fault ends.
	FaultKill = "kill"
	// FaultTerminate stops a VM gracefully; it is replaced when the fault ends.
	FaultTerminate = "terminate"
	// FaultPause stops a VM's process in its tracks.
	FaultPause = "pause"
	// FaultPartition cuts a data centre off.
	FaultPartition = "cut"
	// FaultStallLink stalls the link of an engine.
	FaultStallLink = "stall"
	// FaultOutage refuses all calls to the platform.
	FaultOutage = "outage"
	// FaultStallConnections makes the open connections of a data centre silent.
	FaultStallConnections = "silence"
	// FaultHangEngine makes an engine mute.
	FaultHangEngine = "engine_silence"
	// FaultWithdraw withdraws the key of a workspace.
	FaultWithdraw = "withdraw"
	// FaultDrain marks an endpoint as leaving.
	FaultDrain = "drain"
)

// FaultKinds lists the kinds of fault.
var FaultKinds = []string{
	FaultKill, FaultTerminate, FaultPause, FaultPartition, FaultStallLink, FaultOutage, FaultStallConnections, FaultHangEngine, FaultWithdraw, FaultDrain,
}

// The ways to spread calls over VMs.
const (
	BalanceUniform = "uniform"
	BalanceSkewed  = "skewed"
	BalanceMoving  = "moving"
)

// DefaultSpec gives the spec that an empty file stands for.
func DefaultSpec() Spec {
	return Spec{
		Name: "experiment", Layout: "partilha", Loads: []float64{0.85}, Seeds: []uint64{1},
		DurationSeconds: 20, WarmupSeconds: 4, ReadsPerChat: 0.5, CommitsPerChat: 0.15, Balance: BalanceUniform,
		PlanBurstSeconds: 4,
		Policies:         []Policy{{Name: "default"}},
	}
}

// LoadSpec reads and checks an experiment file.
func LoadSpec(path string) (Spec, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Spec{}, fault.Wrap(err, fault.NotFound, "name a readable experiment file", "experiment")
	}
	return ParseSpec(raw)
}

// ParseSpec reads and checks the text of an experiment file.
func ParseSpec(raw []byte) (Spec, error) {
	s := DefaultSpec()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Spec{}, fault.Wrap(err, fault.Malformed, "correct the experiment file", "experiment")
	}
	return s, s.check()
}

func (s Spec) check() error {
	switch {
	case s.DurationSeconds <= s.WarmupSeconds || s.WarmupSeconds < 0:
		return specError("duration_seconds must be above warmup_seconds")
	case s.PlanHeadroom < 0 || s.PlanBurstSeconds <= 0:
		return specError("plan_headroom must not be below 0, and plan_burst_seconds must be above 0")
	case len(s.Loads) == 0 || len(s.Seeds) == 0 || len(s.Policies) == 0:
		return specError("loads, seeds and policies must not be empty")
	case slices.ContainsFunc(s.Loads, func(l float64) bool { return l <= 0 }):
		return specError("loads must be above 0")
	case !slices.Contains([]string{BalanceUniform, BalanceSkewed, BalanceMoving}, s.Balance):
		return specError("balance must be uniform, skewed or moving")
	}
	for _, f := range s.Faults {
		if !slices.Contains(FaultKinds, f.Kind) {
			return specError(fmt.Sprintf("fault kind %q is not one of %v", f.Kind, FaultKinds))
		}
		if f.AtSeconds < 0 || f.ForSeconds < 0 || f.EverySeconds < 0 {
			return specError("times of faults must not be below 0")
		}
	}
	return nil
}

func specError(message string) error {
	return fault.New(fault.Malformed, "correct the experiment file", message)
}

// Duration is the time of arrivals.
func (s Spec) Duration() time.Duration { return Seconds(s.DurationSeconds) }

// Warmup is the time at the start that is not measured.
func (s Spec) Warmup() time.Duration { return Seconds(s.WarmupSeconds) }

// Seconds gives a duration of s seconds.
func Seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
