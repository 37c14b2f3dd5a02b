package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/test/fleet"
)

// audit adds to the report the violations that only the stand-in engines and services can detect:
// memory not released, commits executed twice or never, calls falsely reported as not executed, and
// leaked credentials.
func (r *run) audit(ctx context.Context, report *experiment.Report, outcomes []experiment.Outcome) {
	a := &report.Audit
	settle, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := r.fleet.AwaitNoAllocations(settle); err != nil {
		for _, held := range r.fleet.Allocations() {
			a.HeldMemory += len(held)
		}
		a.AddExample(err.Error())
	}
	commits := r.commitExecutions()
	for key, executions := range commits {
		if executions > 1 {
			a.DoubledCommits++
			a.AddExample(fmt.Sprintf("commit %s was executed %d times", key, executions))
		}
	}
	for _, o := range outcomes {
		if o.Call.Kind == experiment.Commit && o.Complete && commits[o.Call.IdempotencyKey] == 0 {
			a.UnexecutedCommits++
			a.AddExample(o.RequestID + ": commit was answered successfully but never executed")
		}
		if o.Execution == fault.NotExecuted && o.RequestID != "" && !o.Complete && r.reachedEndpoint(o.RequestID) {
			a.FalseNotExecuted++
			a.AddExample(fmt.Sprintf("%s: reported as not executed (%s: %s), but an endpoint received it", o.RequestID, o.Kind, o.Message))
		}
	}
	r.auditCredentials(a)
}

func (r *run) commitExecutions() map[string]int {
	out := make(map[string]int)
	for _, s := range r.fleet.Services {
		for key, executions := range s.Stats().Commits {
			out[key] += executions
		}
	}
	return out
}

func (r *run) reachedEndpoint(request string) bool {
	for _, e := range r.fleet.Engines {
		if e.Received(request) {
			return true
		}
	}
	for _, s := range r.fleet.Services {
		if s.Received(request) {
			return true
		}
	}
	return false
}

var credentialHeaders = []string{"Authorization", "X-Api-Key", "Cookie", "Proxy-Authorization"}

func (r *run) auditCredentials(a *experiment.Audit) {
	for _, name := range credentialHeaders {
		for endpoint, e := range r.fleet.Engines {
			r.countLeaks(a, endpoint, name, e.Stats().Headers[name])
		}
		for endpoint, s := range r.fleet.Services {
			r.countLeaks(a, endpoint, name, s.Stats().Headers[name])
		}
	}
}

func (r *run) countLeaks(a *experiment.Audit, endpoint, header string, calls int64) {
	if calls > 0 {
		a.LeakedCredentials += int(calls)
		a.AddExample(fmt.Sprintf("%s received %s %d times", endpoint, header, calls))
	}
}

// usage is the resource usage of a process since its start.
type usage struct {
	cpu       time.Duration
	peakRSS   int64
	peerBytes float64
}

// snapshot contains the usage counters at one time: of the daemons by process ID, of the platform by
// kind of call.
type snapshot struct {
	daemons  map[int]usage
	platform map[string]int64
}

func (r *run) readCounters() snapshot {
	s := snapshot{daemons: make(map[int]usage), platform: r.fleet.Platform.Stats().Calls}
	for _, d := range r.fleet.Daemons() {
		if d.Alive() {
			s.daemons[d.PID()] = processUsage(d)
		}
	}
	return s
}

// addUsage adds the resource usage and the platform calls since the snapshot before to the report.
func (r *run) addUsage(report *experiment.Report, before snapshot, elapsed time.Duration) {
	now := r.readCounters()
	report.PlatformCalls = make(map[string]int64)
	total := int64(0)
	for kind, n := range now.platform {
		report.PlatformCalls[kind] = n - before.platform[kind]
		if kind != "refused" {
			total += n - before.platform[kind]
		}
	}
	report.PlatformCallsPerSecond = float64(total) / elapsed.Seconds()
	for _, d := range r.fleet.Daemons() {
		u, ok := now.daemons[d.PID()]
		if !ok {
			continue
		}
		previous := before.daemons[d.PID()]
		report.Daemons = append(report.Daemons, experiment.DaemonUsage{
			VM: d.VM, CPUShare: (u.cpu - previous.cpu).Seconds() / elapsed.Seconds(), PeakRSSBytes: u.peakRSS,
			PeerBytesPerSecond: (u.peerBytes - previous.peerBytes) / elapsed.Seconds(),
		})
	}
}

const (
	// ticksPerSecond is the resolution of CPU times in /proc/PID/stat. utimeField is the index of
	// the user time after the command name; the system time follows it.
	ticksPerSecond = 100
	utimeField     = 11
	kibibyte       = 1024
)

func processUsage(d *fleet.Daemon) usage {
	var u usage
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", d.PID())); err == nil {
		_, rest, _ := strings.Cut(string(raw), ") ")
		if fields := strings.Fields(rest); len(fields) > utimeField+1 {
			user, _ := strconv.ParseInt(fields[utimeField], 10, 64)
			system, _ := strconv.ParseInt(fields[utimeField+1], 10, 64)
			u.cpu = time.Duration(user+system) * time.Second / ticksPerSecond
		}
	}
	if raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", d.PID())); err == nil {
		_, rest, _ := strings.Cut(string(raw), "VmHWM:")
		if fields := strings.Fields(rest); len(fields) > 0 {
			kib, _ := strconv.ParseInt(fields[0], 10, 64)
			u.peakRSS = kib * kibibyte
		}
	}
	u.peerBytes = peerBytes(d)
	return u
}

const sentBytesMetric = `fulmartide_peer_bytes_total{direction="sent"`

func peerBytes(d *fleet.Daemon) float64 {
	client := http.Client{Timeout: probeTimeout}
	resp, err := client.Get("http://" + d.Operator.String() + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	total := 0.0
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), sentBytesMetric) {
			fields := strings.Fields(lines.Text())
			value, _ := strconv.ParseFloat(fields[len(fields)-1], 64)
			total += value
		}
	}
	return total
}
