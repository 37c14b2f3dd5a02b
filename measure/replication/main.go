// Command replication runs the membership, configuration and key services of a fleet in one process,
// over TCP on loopback. It prints the bytes of each kind of message, the time that changes and failures
// take to reach all VMs, and the calls to the platform.
//
// A bridge is a VM that exchanges messages with other data centres. While nothing changes, a VM of a
// fleet of 64 VMs (50 in one data centre and two in each of seven others) sends as much as a VM of a
// fleet of 400 VMs in 8 data centres: heartbeats go to a fixed number of VMs of the same data centre,
// and bridges communicate with the two bridges of each other data centre.
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
	"github.com/fulmartide/fulmartide/test/controlfleet"
)

type options struct {
	Sizes   []int         `arg:"" help:"Number of VMs in each data centre, such as 2 2 1 1."`
	Quiet   time.Duration `default:"10s" help:"Duration of the measurement without changes."`
	Changes int           `default:"5" help:"Number of configuration changes, and of keys created and withdrawn."`
}

// segmentHeaderBytes is the size of the TCP and IP headers of a segment. Each frame is counted with
// the headers of its own segment and of the acknowledgement.
const segmentHeaderBytes = 40

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

const waitTimeout = 30 * time.Second

func run(o options) error {
	m := &meter{}
	m.reset()
	f := controlfleet.New(1)
	f.OnFrameSent = m.count
	defer f.Close()
	started := time.Now()
	vms, err := f.StartAll(o.Sizes...)
	if err != nil {
		return err
	}
	if !controlfleet.Await(waitTimeout, func() bool { return allAlive(vms) }) {
		return errors.New("not all VMs became members of the fleet in time")
	}
	fmt.Printf("%d VMs in %d data centres knew each other after %v\n",
		len(vms), len(o.Sizes), time.Since(started).Round(time.Millisecond))
	if err := measureChanges(f, vms, o, m); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	m.reset()
	f.Platform.TakeCalls()
	time.Sleep(o.Quiet)
	m.print("without changes", vms, o.Quiet)
	calls := f.Platform.TakeCalls()
	fmt.Printf("platform calls per second without changes: get %.1f watch %.1f list of versions %.1f list of VMs %.1f\n",
		perSecond(calls["get"], o.Quiet), perSecond(calls["watch"], o.Quiet), perSecond(calls["list"], o.Quiet), perSecond(calls["vms"], o.Quiet))
	return measureBridgeFailures(vms)
}

func perSecond(n int, d time.Duration) float64 { return float64(n) / d.Seconds() }

func allAlive(vms []*controlfleet.VM) bool {
	return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool {
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

// measureChanges changes the configuration and the keys. It prints the time until the changes have
// reached all VMs and the number of platform calls.
func measureChanges(f *controlfleet.Fleet, vms []*controlfleet.VM, o options, m *meter) error {
	m.reset()
	f.Platform.TakeCalls()
	var base configuration.Version
	var applied, created, withdrawn []time.Duration
	for n := range o.Changes {
		started := time.Now()
		v, err := vms[n%len(vms)].Configuration.Apply(background(), document(n+1, len(o.Sizes)), base)
		if err != nil {
			return err
		}
		base = v
		if !controlfleet.Await(waitTimeout, func() bool { return allHaveVersion(vms, v) }) {
			return errors.New("a configuration version did not reach all VMs in time")
		}
		applied = append(applied, time.Since(started))
	}
	for n := range o.Changes {
		started := time.Now()
		id, secret, err := vms[n%len(vms)].Keys.Create(background(), "w")
		if err != nil {
			return err
		}
		if !controlfleet.Await(waitTimeout, func() bool { return allResolveKey(vms, secret, true) }) {
			return errors.New("a key did not reach all VMs in time")
		}
		created = append(created, time.Since(started))
		f.Platform.SetUnavailable(true)
		started = time.Now()
		result := make(chan error, 1)
		go func() {
			_, err := vms[n%len(vms)].Keys.Withdraw(background(), id)
			result <- err
		}()
		if !controlfleet.Await(waitTimeout, func() bool { return allResolveKey(vms, secret, false) }) {
			return errors.New("the withdrawal of a key did not reach all VMs in time")
		}
		withdrawn = append(withdrawn, time.Since(started))
		if err := <-result; err != nil {
			return err
		}
		f.Platform.SetUnavailable(false)
	}
	fmt.Printf("time until all VMs have a change, maximum of %d: configuration %v, new key %v, key withdrawn while the platform is unavailable %v\n",
		o.Changes, slices.Max(applied).Round(10*time.Microsecond), slices.Max(created).Round(10*time.Microsecond),
		slices.Max(withdrawn).Round(10*time.Microsecond))
	fmt.Printf("platform calls during these %d changes: %v\n", 3*o.Changes, f.Platform.TakeCalls())
	return nil
}

func allHaveVersion(vms []*controlfleet.VM, v configuration.Version) bool {
	return !slices.ContainsFunc(vms, func(vm *controlfleet.VM) bool { return vm.Configuration.CurrentVersion() < uint64(v) })
}

func allResolveKey(vms []*controlfleet.VM, secret string, valid bool) bool {
	return !slices.ContainsFunc(vms, func(vm *controlfleet.VM) bool {
		_, err := vm.Keys.Identify(keys.HashSecret(secret))
		return (err == nil) != valid
	})
}

// measureBridgeFailures kills up to three bridges, one after another, and prints the time until all
// other VMs have detected each failure.
func measureBridgeFailures(vms []*controlfleet.VM) error {
	for range min(3, len(vms)-2) {
		i := slices.IndexFunc(vms, func(v *controlfleet.VM) bool {
			_, bridge := v.Membership.View().BridgeRank()
			return bridge
		})
		victim := vms[i]
		vms = slices.Delete(vms, i, i+1)
		victim.Kill()
		started := time.Now()
		detected := func() bool {
			return !slices.ContainsFunc(vms, func(v *controlfleet.VM) bool {
				m, _ := v.Membership.View().Find(victim.Member.VM.Name)
				return m.State == membership.Alive
			})
		}
		if !controlfleet.Await(waitTimeout, detected) {
			return errors.New("not all VMs detected the failure of a bridge in time")
		}
		fmt.Printf("bridge %s killed: failure detected by all VMs after %v\n",
			victim.Member.VM.Name, time.Since(started).Round(time.Millisecond))
	}
	return nil
}
