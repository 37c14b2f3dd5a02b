// Package settings reads a daemon's static settings, such as its addresses, data centre, platform
// and TLS files, from a TOML file. The file is read at startup, and at SIGHUP for the log level; everything else that
// operators can change at run time is in package configuration.
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

// Settings contains one daemon's settings.
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

// Start configures startup.
type Start struct {
	// WarmUp opens connections to other VMs and to engines before the VM reports that it is ready.
	// Default true.
	WarmUp bool `toml:"warm"`
}

// Policy selects algorithms. Policies other than the defaults are baselines for measurements.
type Policy struct {
	// Placement is predictive (endpoints are selected by predicted times), round_robin (endpoints are
	// selected in rotation) or least_loaded (the lowest reported load). Default predictive.
	Placement string `toml:"placement"`
	// Limiter is pooled (a VM may take tokens from the shares of all data centres), static (each live
	// VM gets an equal fraction of each plan) or home (one VM decides for each workspace). Default
	// pooled.
	Limiter string `toml:"limiter"`
}

// VM identifies this process.
type VM struct {
	// Name must be unique in the fleet and must not contain dots, slashes or spaces.
	Name string `toml:"name"`
	// DataCentre names one of the configuration's data centres.
	DataCentre string `toml:"data_centre"`
	// Region names the data centre's region.
	Region string `toml:"region"`
}

// Listen contains the listen addresses, each as IP:port.
type Listen struct {
	// Callers accepts HTTP requests of callers.
	Callers string `toml:"callers"`
	// Peers accepts messages from other VMs.
	Peers string `toml:"peers"`
	// Operator serves the operator API, metrics and health checks. Do not expose it to public
	// networks.
	Operator string `toml:"operator"`
}

// Platform configures access to the platform.
type Platform struct {
	// Address is the IP:port of the object API.
	Address string `toml:"address"`
	// TimeoutMillis limits the duration of one call. Default 1000.
	TimeoutMillis int64 `toml:"timeout_millis"`
}

// Peers lets a VM find other VMs if the platform is unavailable at startup.
type Peers struct {
	// Seeds lists the IP:port peer addresses of other VMs. Default none.
	Seeds []string `toml:"seeds"`
}

// TLS names PEM files. A certificate and its key are reloaded when the certificate file changes;
// PeersCA is read at startup only. Without files, connections use plain TCP.
type TLS struct {
	CallersCert string `toml:"callers_cert"`
	CallersKey  string `toml:"callers_key"`
	PeersCert   string `toml:"peers_cert"`
	PeersKey    string `toml:"peers_key"`
	PeersCA     string `toml:"peers_ca"`
}

// Limits restricts the requests of callers.
type Limits struct {
	// BodyBytes is the maximum size of a request body. Default 1 MiB.
	BodyBytes int64 `toml:"body_bytes"`
	// HeaderBytes is the maximum size of a request's headers. Default 32 KiB.
	HeaderBytes int `toml:"header_bytes"`
	// PromptTokens is the maximum length of a prompt. Default 65536.
	PromptTokens int64 `toml:"prompt_tokens"`
	// Requests is the maximum number of concurrent requests. Default 4096.
	Requests int `toml:"requests"`
	// MemoryMiB is the memory of the VM that the process may use. Default 64.
	MemoryMiB int64 `toml:"memory_mib"`
}

// Log configures the process log.
type Log struct {
	// Level is debug, info, warn or error. Default info. It is reloaded at SIGHUP.
	Level string `toml:"level"`
}

// Stop configures graceful shutdown.
type Stop struct {
	// NoticeSeconds is how long the VM goes on serving after it reports that it is not ready, so that load balancers and
	// callers can move to other VMs. Default 3: two readiness checks a second apart and the time to act on them.
	NoticeSeconds int64 `toml:"notice_seconds"`
	// DrainSeconds is how long requests in progress may run before they are interrupted. Default 30.
	DrainSeconds int64 `toml:"drain_seconds"`
}

// Defaults returns the default settings.
func Defaults() Settings {
	return Settings{
		Platform: Platform{TimeoutMillis: 1000},
		Limits:   Limits{BodyBytes: 1 << 20, HeaderBytes: 32 << 10, PromptTokens: 65536, Requests: 4096, MemoryMiB: 64},
		Log:      Log{Level: "info"},
		Stop:     Stop{NoticeSeconds: 3, DrainSeconds: 30},
		Policy:   Policy{Placement: "predictive", Limiter: "pooled"},
		Start:    Start{WarmUp: true},
	}
}

// NoticeTime returns how long the VM goes on serving after it reports that it is not ready.
func (s Settings) NoticeTime() time.Duration {
	return time.Duration(s.Stop.NoticeSeconds) * time.Second
}

// DrainTimeout returns how long requests in progress may run during shutdown.
func (s Settings) DrainTimeout() time.Duration {
	return time.Duration(s.Stop.DrainSeconds) * time.Second
}

// Load reads and validates a settings file. The error lists the file, line, key and remedy of each
// violation.
func Load(path string) (Settings, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fault.Wrap(err, fault.NotFound, "name a readable settings file", "settings")
	}
	return Parse(path, raw)
}

// Parse decodes and validates the content of a settings file. path appears in error messages only.
func Parse(path string, raw []byte) (Settings, error) {
	s := Defaults()
	dec := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields()
	if err := dec.Decode(&s); err != nil {
		return Settings{}, decodeError(path, err)
	}
	if violations := s.validate(); len(violations) > 0 {
		return Settings{}, checkError(path, raw, violations)
	}
	return s, nil
}

func decodeError(path string, err error) error {
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

// violation is a validation error of one key.
type violation struct{ key, message, remedy string }

func checkError(path string, raw []byte, violations []violation) error {
	messages := make([]string, 0, len(violations))
	remedies := make([]string, 0, len(violations))
	for _, f := range violations {
		messages = append(messages, fmt.Sprintf("%s:%d: %s: %s", path, lineOf(raw, f.key), f.key, f.message))
		remedies = append(remedies, fmt.Sprintf("%s: %s", f.key, f.remedy))
	}
	return fault.New(fault.Malformed, strings.Join(remedies, "; "), strings.Join(messages, "; "))
}

// lineOf returns the line of a key given as table.name. If the key is missing, it returns the line
// of the table, or 1 if the table is missing too.
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

func (s Settings) validate() []violation {
	var out []violation
	add := func(violated bool, key, message, remedy string) {
		if violated {
			out = append(out, violation{key, message, remedy})
		}
	}
	add(s.VM.Name == "" || strings.ContainsAny(s.VM.Name, "./ "), "vm.name", "missing or contains a dot, slash or space",
		"set a name without dots, slashes or spaces that is unique in the fleet")
	add(s.VM.DataCentre == "", "vm.data_centre", "missing", "name the VM's data centre")
	add(s.VM.Region == "", "vm.region", "missing", "name the data centre's region")
	for key, addr := range map[string]string{
		"listen.callers":   s.Listen.Callers,
		"listen.peers":     s.Listen.Peers,
		"listen.operator":  s.Listen.Operator,
		"platform.address": s.Platform.Address,
	} {
		_, err := netip.ParseAddrPort(addr)
		add(err != nil, key, fmt.Sprintf("%q is not IP:port", addr), "write an IP address and a port, such as 10.0.0.7:8443; names are not looked up")
	}
	for _, seed := range s.Peers.Seeds {
		_, err := netip.ParseAddrPort(seed)
		add(err != nil, "peers.seeds", fmt.Sprintf("%q is not IP:port", seed), "write IP addresses and ports; names are not looked up")
	}
	add(s.Platform.TimeoutMillis <= 0, "platform.timeout_millis", "must be positive", "set a positive number of milliseconds, such as 1000")
	add(s.Limits.BodyBytes <= 0, "limits.body_bytes", "must be positive", "set a positive number of bytes, such as 1048576")
	add(s.Limits.HeaderBytes <= 0, "limits.header_bytes", "must be positive", "set a positive number of bytes, such as 32768")
	add(s.Limits.PromptTokens <= 0, "limits.prompt_tokens", "must be positive", "set a positive number of tokens, such as 65536")
	add(s.Limits.Requests <= 0, "limits.requests", "must be positive", "set a positive number of requests, such as 4096")
	add(s.Limits.MemoryMiB <= 0, "limits.memory_mib", "must be positive", "set a positive number of MiB, such as 64")
	add(!slices.Contains(placements, s.Policy.Placement), "policy.placement", "not a known policy", "set one of "+strings.Join(placements, ", "))
	add(!slices.Contains(limiters, s.Policy.Limiter), "policy.limiter", "not a known policy", "set one of "+strings.Join(limiters, ", "))
	add(s.Stop.NoticeSeconds < 0, "stop.notice_seconds", "must not be negative", "set a number of seconds, such as 3")
	add(s.Stop.DrainSeconds <= 0, "stop.drain_seconds", "must be positive", "set a positive number of seconds, such as 30")
	add((s.TLS.CallersCert == "") != (s.TLS.CallersKey == ""), "tls.callers_cert", "callers_cert and callers_key are not both set",
		"set callers_cert and callers_key together")
	peers := []string{s.TLS.PeersCert, s.TLS.PeersKey, s.TLS.PeersCA}
	set := 0
	for _, p := range peers {
		if p != "" {
			set++
		}
	}
	add(set != 0 && set != len(peers), "tls.peers_cert", "peers_cert, peers_key and peers_ca are not all set",
		"set peers_cert, peers_key and peers_ca together")
	return out
}
