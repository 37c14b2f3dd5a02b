package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"syscall"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/endpoint"
)

func (f *Fleet) findVM(vm string) (*Daemon, error) {
	d := f.Daemon(vm)
	if d == nil {
		return nil, fmt.Errorf("unknown VM %q", vm)
	}
	return d, nil
}

// Kill sends SIGKILL to a VM's process. The VM disappears from the platform's list after ListLag.
func (f *Fleet) Kill(vm string) error {
	d, err := f.findVM(vm)
	if err != nil {
		return err
	}
	if err := d.sendSignal(syscall.SIGKILL); err != nil {
		return err
	}
	<-d.exited
	f.removeFromList(vm)
	return nil
}

// Terminate stops a VM gracefully and returns its exit error.
func (f *Fleet) Terminate(vm string) error {
	d, err := f.findVM(vm)
	if err != nil {
		return err
	}
	f.mu.Lock()
	leaving := f.listed[vm]
	leaving.Leaving = true
	f.listed[vm] = leaving
	f.publishList()
	f.mu.Unlock()
	err = d.terminate(f.stopTimeout())
	f.removeFromList(vm)
	return err
}

// stopTimeout is how long a daemon may take to stop.
func (f *Fleet) stopTimeout() time.Duration {
	return time.Duration(f.opts.NoticeSeconds+f.opts.DrainSeconds)*time.Second + stopGrace
}

func (f *Fleet) removeFromList(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.listed, vm)
	f.publishList()
}

// Replace starts a new process for a VM whose process has exited, and waits until it is ready.
func (f *Fleet) Replace(ctx context.Context, vm string) error {
	old, err := f.findVM(vm)
	if err != nil {
		return err
	}
	if old.Alive() {
		return fmt.Errorf("VM %q is still running", vm)
	}
	d, err := f.startVM(ctx, vm, old.DataCentre)
	if err != nil {
		return err
	}
	return d.AwaitReady(ctx)
}

// Pause suspends a VM's process with SIGSTOP.
func (f *Fleet) Pause(vm string) error { return f.Signal(vm, syscall.SIGSTOP) }

// Resume resumes a paused process.
func (f *Fleet) Resume(vm string) error { return f.Signal(vm, syscall.SIGCONT) }

// Signal sends a signal to a VM's process.
func (f *Fleet) Signal(vm string, sig syscall.Signal) error {
	d, err := f.findVM(vm)
	if err != nil {
		return err
	}
	return d.sendSignal(sig)
}

// PartitionDataCentre blocks all traffic of a data centre with other data centres, including their
// endpoints, and with the platform. Callers can still reach its VMs.
func (f *Fleet) PartitionDataCentre(dc string) { f.network.setPartitioned(dc, true) }

// Heal ends the partition of a data centre.
func (f *Fleet) Heal(dc string) { f.network.setPartitioned(dc, false) }

// SetPlatformOutage makes all calls to the platform fail while on.
func (f *Fleet) SetPlatformOutage(on bool) { f.Platform.SetOutage(on) }

// BlackholeConnections permanently blackholes the open connections of a data centre with VMs of
// other data centres and with the platform. New connections are not affected.
func (f *Fleet) BlackholeConnections(dc string) { f.network.blackholeConnections(dc) }

// EditConfiguration changes the configuration stored in the platform, like an operator's tool.
func (f *Fleet) EditConfiguration(change func(*configuration.Document)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.Document)
	raw, err := json.Marshal(f.Document)
	if err != nil {
		return err
	}
	f.Platform.ForcePut("configuration", raw)
	return nil
}

// DrainEndpoint marks an endpoint as leaving.
func (f *Fleet) DrainEndpoint(name string) error {
	if _, ok := f.Document.Endpoints[name]; !ok {
		return fmt.Errorf("unknown endpoint %q", name)
	}
	return f.EditConfiguration(func(d *configuration.Document) {
		e := d.Endpoints[name]
		e.Leaving = true
		d.Endpoints[name] = e
	})
}

// WithdrawKey marks a workspace's key as withdrawn in the key list stored in the platform.
func (f *Fleet) WithdrawKey(workspace string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.keys.Keys[KeyID(workspace)]
	if !ok {
		return fmt.Errorf("unknown workspace %q", workspace)
	}
	entry.Withdrawn = true
	f.keys.Keys[KeyID(workspace)] = entry
	raw, err := json.Marshal(f.keys)
	if err != nil {
		return err
	}
	f.Platform.ForcePut("keys", raw)
	return nil
}

// Allocations returns the allocations of all engines by endpoint name.
func (f *Fleet) Allocations() map[string][]endpoint.Allocation {
	out := make(map[string][]endpoint.Allocation)
	for name, e := range f.Engines {
		if allocations := e.Allocations(); len(allocations) > 0 {
			out[name] = allocations
		}
	}
	return out
}

// AwaitNoAllocations waits until no engine has memory allocated for a request.
func (f *Fleet) AwaitNoAllocations(ctx context.Context) error {
	for {
		allocations := f.Allocations()
		if len(allocations) == 0 {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("engines still have allocations %v: %w", allocations, ctx.Err())
		}
	}
}
