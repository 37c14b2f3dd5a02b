package main

import (
	"context"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/standin"
	"github.com/fulmartide/fulmartide/test/standin/engine"
)

// causeFaults runs the script, then ends the faults that are left.
func (r *run) causeFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range r.spec.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.repeatFault(ctx, f)
		}()
	}
	wg.Wait()
}

func (r *run) repeatFault(ctx context.Context, f experiment.Fault) {
	at := experiment.Seconds(f.AtSeconds)
	for turn := 0; ; turn++ {
		if standin.Sleep(ctx, time.Until(r.start.Add(at))) != nil {
			return
		}
		r.oneFault(ctx, f, turn)
		at += experiment.Seconds(f.EverySeconds)
		if f.EverySeconds == 0 || at > r.spec.Duration() {
			return
		}
	}
}

func (r *run) oneFault(ctx context.Context, f experiment.Fault, turn int) {
	target := f.Target
	if target == "" {
		daemons := r.fleet.Daemons()
		target = daemons[turn%len(daemons)].VM
	}
	begin, end := r.faultSteps(f.Kind, target)
	r.report(f.Kind, target, begin())
	if end == nil {
		return
	}
	if f.ForSeconds > 0 {
		_ = standin.Sleep(ctx, experiment.Seconds(f.ForSeconds))
	} else {
		<-ctx.Done()
	}
	r.report(f.Kind+" ends", target, end())
}

func (r *run) report(what, target string, err error) {
	fmt.Fprintf(os.Stderr, "  %s: %s %s", time.Since(r.start).Round(time.Millisecond), what, target)
	if err != nil {
		fmt.Fprintf(os.Stderr, ": %v", err)
	}
	fmt.Fprintln(os.Stderr)
}

// faultSteps gives what begins and what ends a fault; nil when nothing ends it.
func (r *run) faultSteps(kind, target string) (begin, end func() error) {
	do := func(f func()) func() error {
		return func() error { f(); return nil }
	}
	replace := func() error { return r.fleet.Replace(context.Background(), target) }
	switch kind {
	case experiment.FaultKill:
		return func() error { return r.fleet.Kill(target) }, replace
	case experiment.FaultTerminate:
		return func() error { return r.fleet.Terminate(target) }, replace
	case experiment.FaultPause:
		return func() error { return r.fleet.Pause(target) }, func() error { return r.fleet.Resume(target) }
	case experiment.FaultCut:
		return do(func() { r.fleet.PartitionDataCentre(target) }), do(func() { r.fleet.Heal(target) })
	case experiment.FaultOutage:
		return do(func() { r.fleet.SetPlatformOutage(true) }), do(func() { r.fleet.SetPlatformOutage(false) })
	case experiment.FaultSilence:
		return do(func() { r.fleet.BlackholeConnections(target) }), nil
	case experiment.FaultStall:
		return r.engineMode(target, engine.Mode{StallLink: true}), r.engineMode(target, engine.Mode{})
	case experiment.FaultEngineSilence:
		return r.engineMode(target, engine.Mode{Unresponsive: true}), r.engineMode(target, engine.Mode{})
	case experiment.FaultDrain:
		return func() error { return r.fleet.DrainEndpoint(target) }, nil
	case experiment.FaultWithdraw:
		return func() error { return r.withdraw(target) }, nil
	}
	unknown := func() error { return fmt.Errorf("unknown fault %q", kind) }
	return unknown, nil
}

func (r *run) engineMode(name string, m engine.Mode) func() error {
	return func() error {
		e := r.fleet.Engines[name]
		if e == nil {
			return fmt.Errorf("no engine %q", name)
		}
		e.SetMode(m)
		return nil
	}
}

func (r *run) withdraw(workspace string) error {
	r.mu.Lock()
	r.withdrawn[workspace] = time.Since(r.start)
	r.mu.Unlock()
	return r.fleet.WithdrawKey(workspace)
}
