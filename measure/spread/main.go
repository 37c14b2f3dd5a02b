// Command spread runs the membership, configuration and key services of a fleet in one
// process, over TCP on loopback, and prints the bytes of each kind of message, the times that
// changes and failures take to spread, and the calls to the platform.
//
// With 64 VMs (50 in one data centre, two in each of seven others) every VM sends what it would
// send among 400 in 8 data centres while nothing changes: heartbeats go to a fixed number of VMs
// of the own data centre, and bridges speak with the two bridges of each other one.
package main

import (
	"errors"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/alecthomas/kong"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/keys"
	"github.com/fulmartide/fulmartide/internal/membership"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/test/spreadfleet"
)

type options struct {
	Sizes   []int         `arg:"" help:"VMs of each data centre, such as 2 2 1 1."`
	Quiet   time.Duration `default:"10s" help:"Time without changes over which bytes are counted."`
	Changes int           `default:"5" help:"Configuration changes, and keys given and withdrawn."`
}

// segmentBytes is the TCP/IP header of a segment; each frame is counted with its own and with
// that of the acknowledgement it causes.
const segmentBytes = 40

type meter struct {
	mu     sync.Mutex
	frames map[string]map[peer.Kind]int
	bytes  map[string]map[peer.Kind]int
}

func (m *meter) count(vm string, kind peer.Kind, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.frames[vm] == nil {
		m.frames[vm], m.bytes[vm] = map[peer.Kind]int{}, map[peer.Kind]int{}
	}
	m.frames[vm][kind]++
	m.bytes[vm][kind] += bytes
}

func (m *meter) reset() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.frames, m.bytes = map[string]map[peer.Kind]int{}, map[string]map[peer.Kind]int{}
}

func main() {
	var o options
	kong.Parse(&o)
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

const patience = 30 * time.Second

func run(o options) error {
	m := &meter{}
	m.reset()
	f := spreadfleet.New(1)
	f.OnFrameSent = m.count
	defer f.Close()
	started := time.Now()
	vms, err := f.StartAll(o.Sizes...)
	if err != nil {
		return err
	}
	if !spreadfleet.Await(patience, func() bool { return met(vms) }) {
		return errors.New("the VMs did not meet")
	}
	fmt.Printf("%d VMs in %d data centres met after %v\n", len(vms), len(o.Sizes), time.Since(started).Round(time.Millisecond))
	if err := change(f, vms, o, m); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	m.reset()
	f.Platform.TakeCalls()
	time.Sleep(o.Quiet)
	m.print("without changes", vms, o.Quiet)
	calls := f.Platform.TakeCalls()
	fmt.Printf("platform calls a second without changes: get %.1f watch %.1f list of versions %.1f list of VMs %.1f\n",
		perSecond(calls["get"], o.Quiet), perSecond(calls["watch"], o.Quiet), perSecond(calls["list"], o.Quiet), perSecond(calls["vms"], o.Quiet))
	return fail(vms)
}

func perSecond(n int, d time.Duration) float64 { return float64(n) / d.Seconds() }

func met(vms []*spreadfleet.VM) bool {
	return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool {
		live := 0
		for _, m := range v.Membership.View().Members {
			if m.State == membership.Alive {
				live++
			}
		}
		return live < len(vms)
	})
}

func document(n int, dataCentres int) configuration.Document {
	doc := configuration.Document{
		DataCentres: map[string]configuration.DataCentre{},
		Plans:       map[string]configuration.Plan{"gold": {TokensPerSecond: int64(n), BurstTokens: 1}},
		Workspaces:  map[string]configuration.Workspace{"w": {Plan: "gold"}},
	}
	for i := range dataCentres {
		doc.DataCentres[fmt.Sprintf("dc-%d", i)] = configuration.DataCentre{Region: "r"}
	}
	return doc
}

// change makes changes and prints their bytes and times.
func change(f *spreadfleet.Fleet, vms []*spreadfleet.VM, o options, m *meter) error {
	m.reset()
	f.Platform.TakeCalls()
	var base configuration.Version
	var spread, given, withdrawn []time.Duration
	for n := range o.Changes {
		started := time.Now()
		v, err := vms[n%len(vms)].Configuration.Apply(ctx(), document(n+1, len(o.Sizes)), base)
		if err != nil {
			return err
		}
		base = v
		if !spreadfleet.Await(patience, func() bool { return everyVersion(vms, v) }) {
			return errors.New("a version did not reach all VMs")
		}
		spread = append(spread, time.Since(started))
	}
	for n := range o.Changes {
		started := time.Now()
		id, secret, err := vms[n%len(vms)].Keys.Give(ctx(), "w")
		if err != nil {
			return err
		}
		if !spreadfleet.Await(patience, func() bool { return everyKey(vms, secret, true) }) {
			return errors.New("a key did not reach all VMs")
		}
		given = append(given, time.Since(started))
		f.Platform.SetUnavailable(true)
		started = time.Now()
		result := make(chan error, 1)
		go func() {
			_, err := vms[n%len(vms)].Keys.Withdraw(ctx(), id)
			result <- err
		}()
		if !spreadfleet.Await(patience, func() bool { return everyKey(vms, secret, false) }) {
			return errors.New("a withdrawal did not reach all VMs")
		}
		withdrawn = append(withdrawn, time.Since(started))
		if err := <-result; err != nil {
			return err
		}
		f.Platform.SetUnavailable(false)
	}
	fmt.Printf("time to the last VM, longest of %d: configuration %v, key given %v, key withdrawn with the platform away %v\n",
		o.Changes, slices.Max(spread).Round(10*time.Microsecond), slices.Max(given).Round(10*time.Microsecond), slices.Max(withdrawn).Round(10*time.Microsecond))
	fmt.Printf("platform calls for these %d changes and what ran beside them: %v\n", 3*o.Changes, f.Platform.TakeCalls())
	return nil
}

func everyVersion(vms []*spreadfleet.VM, v configuration.Version) bool {
	return !slices.ContainsFunc(vms, func(vm *spreadfleet.VM) bool { return vm.Configuration.Digest() < uint64(v) })
}

func everyKey(vms []*spreadfleet.VM, secret string, want bool) bool {
	return !slices.ContainsFunc(vms, func(vm *spreadfleet.VM) bool {
		_, err := vm.Keys.Identify(keys.HashSecret(secret))
		return (err == nil) != want
	})
}

// fail kills a bridge and prints how long it takes until all others see it.
func fail(vms []*spreadfleet.VM) error {
	for range min(3, len(vms)-2) {
		i := slices.IndexFunc(vms, func(v *spreadfleet.VM) bool {
			_, bridge := v.Membership.View().BridgeRank()
			return bridge
		})
		victim := vms[i]
		vms = slices.Delete(vms, i, i+1)
		victim.Kill()
		started := time.Now()
		seen := func() bool {
			return !slices.ContainsFunc(vms, func(v *spreadfleet.VM) bool {
				m, _ := v.Membership.View().Find(victim.Member.VM.Name)
				return m.State == membership.Alive
			})
		}
		if !spreadfleet.Await(patience, seen) {
			return errors.New("a dead VM was not seen")
		}
		fmt.Printf("bridge %s killed: seen by all, and its watch duty with another VM, after %v\n", victim.Member.VM.Name, time.Since(started).Round(time.Millisecond))
	}
	return nil
}
