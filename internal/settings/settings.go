// Package settings reads what a process needs to know before it can start: its own addresses,
// data centre, platform and TLS files. Settings are a TOML file, read once; everything that
// operators change while traffic runs is in package configuration.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Settings are one daemon's settings.
type Settings struct {
	VM       VM       `toml:"vm"`
	Listen   Listen   `toml:"listen"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	TLS      TLS      `toml:"tls"`
	Limits   Limits   `toml:"limits"`
	Log      Log      `toml:"log"`
	Stop     Stop     `toml:"stop"`
	Policy   Policy   `toml:"policy"`
	Start    Start    `toml:"start"`
}

// Start says what a new process does before it takes calls.
type Start struct {
	// Warm opens connections to other VMs and endpoints before the VM says ready. Default true.
	Warm bool `toml:"warm"`
}

// Policy chooses decision policies; the others are baselines for measurements.
type Policy struct {
	// Placement is predictive, round_robin or least_loaded. Default predictive.
	Placement string `toml:"placement"`
	// Limiter is pooled, static or home. Default pooled.
	Limiter string `toml:"limiter"`
}

// VM says who this process is.
type VM struct {
	// Name is unique in the fleet and holds no dots, slashes or spaces.
	Name string `toml:"name"`
	// DataCentre names one of the configuration's data centres.
	DataCentre string `toml:"data_centre"`
	// Region names the data centre's region.
	Region string `toml:"region"`
}

// Listen holds IP:port addresses.
type Listen struct {
	// Callers is for callers' HTTP.
	Callers string `toml:"callers"`
	// Peers is for messages between VMs.
	Peers string `toml:"peers"`
	// Operator is for the tool, metrics and health checks. Keep it off public networks.
	Operator string `toml:"operator"`
}

// Platform says where the platform's services are.
type Platform struct {
	// Address is IP:port of the object API.
	Address string `toml:"address"`
	// TimeoutMillis bounds one call. Default 1000.
	TimeoutMillis int64 `toml:"timeout_millis"`
}

// Peers helps a VM that starts while the platform is away.
type Peers struct {
	// Seeds are IP:port peer addresses of other VMs. Default none.
	Seeds []string `toml:"seeds"`
}

// TLS names PEM files, reread when they change. Empty means plain TCP.
type TLS struct {
	CallersCert string `toml:"callers_cert"`
	CallersKey  string `toml:"callers_key"`
	PeersCert   string `toml:"peers_cert"`
	PeersKey    string `toml:"peers_key"`
	PeersCA     string `toml:"peers_ca"`
}

// Limits bound what callers may send.
type Limits struct {
	// BodyBytes is the most of a request body. Default 1 MiB.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes is the most of a request's headers. Default 32 KiB.
	HeaderBytes int `toml:"header_bytes"`
	// PromptTokens is the longest prompt. Default 65536.
	PromptTokens int64 `toml:"prompt_tokens"`
	// Requests is the most requests served at once. Default 4096.
	Requests int `toml:"requests"`
}

// Log configures the process log.
type Log struct {
	// Level is debug, info, warn or error. Default info.
	Level string `toml:"level"`
}

// Stop bounds a planned stop.
type Stop struct {
	// DrainSeconds is how long streams may finish. Default 30.
	DrainSeconds int64 `toml:"drain_seconds"`
}

// Defaults gives the settings that an empty file stands for.
func Defaults() Settings {
	return Settings{
		Platform: Platform{TimeoutMillis: 1000},
		Limits:   Limits{BodyBytes: 1 << 20, HeaderBytes: 32 << 10, PromptTokens: 65536, Requests: 4096},
		Log:      Log{Level: "info"},
		Stop:     Stop{DrainSeconds: 30},
		Policy:   Policy{Placement: "predictive", Limiter: "pooled"},
		Start:    Start{Warm: true},
	}
}

// DrainTime gives the bound of a planned stop.
func (s Settings) DrainTime() time.Duration { return time.Duration(s.Stop.DrainSeconds) * time.Second }

// Load reads and checks a file. Its error names the file, line, key and remedy of each fault.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(err, fault.NotFound, "name a readable settings file", "settings")
	}
	return Parse(path, raw)
}

// Parse checks the text of a settings file; path is for messages only.
func Parse(path string, raw []byte) (Settings, error) {
	s := Defaults()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, decodeFault(path, err)
	}
	if faults := s.check(); len(faults) > 0 {
		return Settings{}, checkFault(path, raw, faults)
	}
	return s, nil
}

func decodeFault(path string, err error) error {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		lines := make([]string, 0, len(strict.Errors))
		for _, e := range strict.Errors {
			row, _ := e.Position()
			lines = append(lines, fmt.Sprintf("%s:%d: %s: unknown key", path, row, strings.Join(e.Key(), ".")))
		}
		return fault.New(fault.Malformed, "remove the key or correct its spelling", strings.Join(lines, "; "))
	}
	var decode *toml.DecodeError
	if errors.As(err, &decode) {
		row, _ := decode.Position()
		message := fmt.Sprintf("%s:%d: %s: %s", path, row, strings.Join(decode.Key(), "."), decode.Error())
		return fault.New(fault.Malformed, "correct this line", message)
	}
	return fault.Wrap(err, fault.Malformed, "write the settings as TOML", path)
}

var (
	placements = []string{"predictive", "round_robin", "least_loaded"}
	limiters   = []string{"pooled", "static", "home"}
)

// keyFault is one broken rule.
type keyFault struct{ key, message, remedy string }

func checkFault(path string, raw []byte, faults []keyFault) error {
	messages := make([]string, 0, len(faults))
	remedies := make([]string, 0, len(faults))
	for _, f := range faults {
		messages = append(messages, fmt.Sprintf("%s:%d: %s: %s", path, lineOf(raw, f.key), f.key, f.message))
		remedies = append(remedies, fmt.Sprintf("%s: %s", f.key, f.remedy))
	}
	return fault.New(fault.Malformed, strings.Join(remedies, "; "), strings.Join(messages, "; "))
}

// lineOf finds the line of table.key, or of its table, or the first line.
func lineOf(raw []byte, key string) int {
	table, name, _ := strings.Cut(key, ".")
	current, tableLine := "", 1
	for i, line := range strings.Split(string(raw), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			current = strings.Trim(line, "[] ")
			if current == table {
				tableLine = i + 1
			}
			continue
		}
		left, _, found := strings.Cut(line, "=")
		if found && current == table && strings.TrimSpace(left) == name {
			return i + 1
		}
	}
	return tableLine
}

func (s Settings) check() []keyFault {
	var out []keyFault
	add := func(bad bool, key, message, remedy string) {
		if bad {
			out = append(out, keyFault{key, message, remedy})
		}
	}
	add(s.VM.Name == "" || strings.ContainsAny(s.VM.Name, "./ "), "vm.name", "missing or holds a dot, slash or space", "give a name unique in the fleet")
	add(s.VM.DataCentre == "", "vm.data_centre", "missing", "name the VM's data centre")
	add(s.VM.Region == "", "vm.region", "missing", "name the data centre's region")
	for key, addr := range map[string]string{
		"listen.callers":   s.Listen.Callers,
		"listen.peers":     s.Listen.Peers,
		"listen.operator":  s.Listen.Operator,
		"platform.address": s.Platform.Address,
	} {
		_, err := netip.ParseAddrPort(addr)
		add(err != nil, key, fmt.Sprintf("%q is not IP:port", addr), "write an IP number and a port, such as 10.0.0.7:8443; names are not looked up")
	}
	for _, seed := range s.Peers.Seeds {
		_, err := netip.ParseAddrPort(seed)
		add(err != nil, "peers.seeds", fmt.Sprintf("%q is not IP:port", seed), "write IP numbers and ports; names are not looked up")
	}
	add(s.Platform.TimeoutMillis <= 0, "platform.timeout_millis", "not above 0", "set milliseconds, such as 1000")
	add(s.Limits.BodyBytes <= 0, "limits.body_bytes", "not above 0", "set bytes, such as 1048576")
	add(s.Limits.HeaderBytes <= 0, "limits.header_bytes", "not above 0", "set bytes, such as 32768")
	add(s.Limits.PromptTokens <= 0, "limits.prompt_tokens", "not above 0", "set tokens, such as 65536")
	add(s.Limits.Requests <= 0, "limits.requests", "not above 0", "set a count, such as 4096")
	add(!slices.Contains(placements, s.Policy.Placement), "policy.placement", "not a known policy", "set one of "+strings.Join(placements, ", "))
	add(!slices.Contains(limiters, s.Policy.Limiter), "policy.limiter", "not a known policy", "set one of "+strings.Join(limiters, ", "))
	add(s.Stop.DrainSeconds <= 0, "stop.drain_seconds", "not above 0", "set seconds, such as 30")
	add((s.TLS.CallersCert == "") != (s.TLS.CallersKey == ""), "tls.callers_cert", "set without its partner", "set callers_cert and callers_key together")
	peers := []string{s.TLS.PeersCert, s.TLS.PeersKey, s.TLS.PeersCA}
	set := 0
	for _, p := range peers {
		if p != "" {
			set++
		}
	}
	add(set != 0 && set != len(peers), "tls.peers_cert", "set without its partners", "set peers_cert, peers_key and peers_ca together")
	return out
}
