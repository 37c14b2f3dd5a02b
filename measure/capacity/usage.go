package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/fulmartide/fulmartide/test/fleet"
)

const (
	// ticksPerSecond is the resolution of CPU times in /proc/PID/stat.
	ticksPerSecond = 100
	// userField and systemField are the indices of the CPU times after the command name in /proc/PID/stat.
	userField, systemField = 11, 12
)

// processUsage returns the CPU time of a process in seconds and its resident memory in bytes.
func processUsage(pid int) (cpu, rss float64, err error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	_, rest, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[userField], 64)
	system, _ := strconv.ParseFloat(fields[systemField], 64)
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	pages, _ := strconv.ParseFloat(strings.Fields(string(statm))[1], 64)
	return (user + system) / ticksPerSecond, pages * float64(os.Getpagesize()), nil
}

// peerBytes adds to sums, by kind of message, the bytes that a daemon has sent to and received from
// other VMs since its start.
func peerBytes(d *fleet.Daemon, sums map[string]float64) error {
	resp, err := http.Get("http://" + d.Operator.String() + "/metrics")
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	for scan := bufio.NewScanner(resp.Body); scan.Scan(); {
		name, value, found := strings.Cut(scan.Text(), " ")
		if !found || !strings.HasPrefix(name, "fulmartide_peer_bytes_total") {
			continue
		}
		n, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		_, kind, _ := strings.Cut(name, `kind="`)
		sums[strings.TrimSuffix(kind, `"}`)] += n
	}
	return nil
}
