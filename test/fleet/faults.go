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

func (f *Fleet) find(vm string) (*Daemon, error) {
	d := f.Daemon(vm)
	if d == nil {
		return nil, fmt.Errorf("no VM %q", vm)
	}
	return d, nil
}

// Kill ends a VM's process at once. The platform's list drops the VM after its lag.
func (f *Fleet) Kill(vm string) error {
	d, err := f.find(vm)
	if err != nil {
		return err
	}
	if err := d.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-d.exited
	f.unlist(vm)
	return nil
}

// Terminate stops a VM gracefully and gives its exit error.
func (f *Fleet) Terminate(vm string) error {
	d, err := f.find(vm)
	if err != nil {
		return err
	}
	f.mu.Lock()
	leaving := f.listed[vm]
	leaving.Leaving = true
	f.listed[vm] = leaving
	f.publishList()
	f.mu.Unlock()
	err = d.terminate(time.Duration(f.opts.Drain)*time.Second + stopSlack)
	f.unlist(vm)
	return err
}

func (f *Fleet) unlist(vm string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.listed, vm)
	f.publishList()
}

// Replace starts a new process under the name of a VM that ended, and waits until it is ready.
func (f *Fleet) Replace(ctx context.Context, vm string) error {
	old, err := f.find(vm)
	if err != nil {
		return err
	}
	if old.Alive() {
		return fmt.Errorf("VM %q still runs", vm)
	}
	d, err := f.startVM(ctx, vm, old.DataCentre)
	if err != nil {
		return err
	}
	return d.AwaitReady(ctx)
}

// Pause stops a VM's process in its tracks.
func (f *Fleet) Pause(vm string) error { return f.signalVM(vm, syscall.SIGSTOP) }

// Continue lets a paused process go on.
func (f *Fleet) Continue(vm string) error { return f.signalVM(vm, syscall.SIGCONT) }

func (f *Fleet) signalVM(vm string, sig syscall.Signal) error {
	d, err := f.find(vm)
	if err != nil {
		return err
	}
	return d.signal(sig)
}

// CutDataCentre holds back all traffic between a data centre and the others, the platform
// and endpoints elsewhere. Callers still reach its VMs.
func (f *Fleet) CutDataCentre(dc string) { f.network.setCut(dc, true) }

// Heal ends a cut.
func (f *Fleet) Heal(dc string) { f.network.setCut(dc, false) }

// Outage refuses all calls to the platform while on.
func (f *Fleet) Outage(on bool) { f.Platform.Outage(on) }

// SilenceLinks makes the open connections of a data centre with other VMs and with the
// platform silent for good; new ones work.
func (f *Fleet) SilenceLinks(dc string) { f.network.forget(dc) }

// Edit changes the configuration in the platform, as an operator's tool would.
func (f *Fleet) Edit(change func(*configuration.Document)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(&f.Document)
	raw, err := json.Marshal(f.Document)
	if err != nil {
		return err
	}
	f.Platform.Seed("configuration", raw)
	return nil
}

// Drain marks an endpoint as leaving.
func (f *Fleet) Drain(name string) error {
	if _, ok := f.Document.Endpoints[name]; !ok {
		return fmt.Errorf("no endpoint %q", name)
	}
	return f.Edit(func(d *configuration.Document) {
		e := d.Endpoints[name]
		e.Leaving = true
		d.Endpoints[name] = e
	})
}

// Withdraw marks a workspace's key as withdrawn in the platform's list.
func (f *Fleet) Withdraw(workspace string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.keys.Keys[KeyID(workspace)]
	if !ok {
		return fmt.Errorf("no workspace %q", workspace)
	}
	entry.Withdrawn = true
	f.keys.Keys[KeyID(workspace)] = entry
	raw, err := json.Marshal(f.keys)
	if err != nil {
		return err
	}
	f.Platform.Seed("keys", raw)
	return nil
}

// Held gives what all engines hold, by the endpoint's name.
func (f *Fleet) Held() map[string][]endpoint.Allocation {
	out := make(map[string][]endpoint.Allocation)
	for name, e := range f.Engines {
		if held := e.Held(); len(held) > 0 {
			out[name] = held
		}
	}
	return out
}

// AwaitFreed waits until no engine holds memory for a request.
func (f *Fleet) AwaitFreed(ctx context.Context) error {
	for {
		held := f.Held()
		if len(held) == 0 {
			return nil
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("engines still hold %v: %w", held, ctx.Err())
		}
	}
}
