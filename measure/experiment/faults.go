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

// injectFaults injects the faults of the spec at their times. When ctx is cancelled, it ends the
// faults that are still active and returns.
func (r *run) injectFaults(ctx context.Context) {
	var wg sync.WaitGroup
	for _, f := range r.spec.Faults {
		wg.Add(1)
		go func() {
			defer wg.Done()
			r.scheduleFault(ctx, f)
		}()
	}
	wg.Wait()
}

func (r *run) scheduleFault(ctx context.Context, f experiment.Fault) {
	at := experiment.Seconds(f.AtSeconds)
	for repetition := 0; ; repetition++ {
		if standin.Sleep(ctx, time.Until(r.start.Add(at))) != nil {
			return
		}
		r.injectFault(ctx, f, repetition)
		at += experiment.Seconds(f.EverySeconds)
		if f.EverySeconds == 0 || at > r.spec.Duration() {
			return
		}
	}
}

func (r *run) injectFault(ctx context.Context, f experiment.Fault, repetition int) {
	target := f.Target
	if target == "" {
		daemons := r.fleet.Daemons()
		target = daemons[repetition%len(daemons)].VM
	}
	begin, end := r.faultActions(f.Kind, target)
	r.logFault(f.Kind, target, begin())
	if end == nil {
		return
	}
	if f.ForSeconds > 0 {
		_ = standin.Sleep(ctx, experiment.Seconds(f.ForSeconds))
	} else {
		<-ctx.Done()
	}
	r.logFault(f.Kind+" ends", target, end())
}

func (r *run) logFault(action, target string, err error) {
	fmt.Fprintf(os.Stderr, "  %s: %s %s", time.Since(r.start).Round(time.Millisecond), action, target)
	if err != nil {
		fmt.Fprintf(os.Stderr, ": %v", err)
	}
	fmt.Fprintln(os.Stderr)
}

// faultActions returns the functions that begin and end a fault. end is nil if the fault cannot be
// ended.
func (r *run) faultActions(kind, target string) (begin, end func() error) {
	withoutError := func(f func()) func() error {
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
	case experiment.FaultPartition:
		return withoutError(func() { r.fleet.PartitionDataCentre(target) }), withoutError(func() { r.fleet.Heal(target) })
	case experiment.FaultOutage:
		return withoutError(func() { r.fleet.SetPlatformOutage(true) }), withoutError(func() { r.fleet.SetPlatformOutage(false) })
	case experiment.FaultBlackholeConnections:
		return withoutError(func() { r.fleet.BlackholeConnections(target) }), nil
	case experiment.FaultStallLink:
		return r.setEngineMode(target, engine.Mode{StallLink: true}), r.setEngineMode(target, engine.Mode{})
	case experiment.FaultHangEngine:
		return r.setEngineMode(target, engine.Mode{Unresponsive: true}), r.setEngineMode(target, engine.Mode{})
	case experiment.FaultDrain:
		return func() error { return r.fleet.DrainEndpoint(target) }, nil
	case experiment.FaultWithdraw:
		return func() error { return r.withdrawKey(target) }, nil
	}
	unknown := func() error { return fmt.Errorf("unknown kind of fault %q", kind) }
	return unknown, nil
}

func (r *run) setEngineMode(name string, m engine.Mode) func() error {
	return func() error {
		e := r.fleet.Engines[name]
		if e == nil {
			return fmt.Errorf("unknown engine %q", name)
		}
		e.SetMode(m)
		return nil
	}
}

func (r *run) withdrawKey(workspace string) error {
	r.mu.Lock()
	r.withdrawn[workspace] = time.Since(r.start)
	r.mu.Unlock()
	return r.fleet.WithdrawKey(workspace)
}
