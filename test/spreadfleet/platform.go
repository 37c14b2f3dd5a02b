// Package spreadfleet runs membership, configuration and keys of several VMs in one process,
// over TCP on loopback, beside a platform in memory that can be told to fail.
package spreadfleet

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
)

// Platform is an object store and VM list in memory.
type Platform struct {
	mu      sync.Mutex
	objects map[string]objectstore.Object
	changed chan struct{}
	vms     []objectstore.VM
	away    bool
	frozen  bool
	awayFor map[string]bool
	lose    float64
	late    float64
	rng     *rand.Rand
	calls   map[string]int
}

// NewPlatform makes an empty platform. seed fixes which answers are lost.
func NewPlatform(seed uint64) *Platform {
	return &Platform{
		objects: map[string]objectstore.Object{},
		changed: make(chan struct{}),
		awayFor: map[string]bool{},
		rng:     rand.New(rand.NewPCG(seed, 2)),
		calls:   map[string]int{},
	}
}

// SetAway makes all calls fail without effect.
func (p *Platform) SetAway(away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.away = away
	p.wake()
}

// SetReadOnly makes writes fail without effect.
func (p *Platform) SetReadOnly(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
}

// SetAwayFor makes the calls of one data centre fail without effect.
func (p *Platform) SetAwayFor(dataCentre string, away bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.awayFor[dataCentre] = away
	p.wake()
}

// SetLoss makes a share of the writes lose their answer after they took effect, and another
// share take effect only some time after the call failed.
func (p *Platform) SetLoss(lose, late float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lose, p.late = lose, late
}

// TakeCalls gives the number of calls by name since the last TakeCalls.
func (p *Platform) TakeCalls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.calls
	p.calls = map[string]int{}
	return out
}

// CallsOf gives the number of calls of one name since the last TakeCalls.
func (p *Platform) CallsOf(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[name]
}

// List adds a VM to the list, or takes it off.
func (p *Platform) List(vm objectstore.VM, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.DeleteFunc(p.vms, func(v objectstore.VM) bool { return v.Name == vm.Name })
	if on {
		p.vms = append(p.vms, vm)
	}
}

// For gives the platform as the VMs of one data centre reach it.
func (p *Platform) For(dataCentre string) *Port { return &Port{p, dataCentre} }

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Port is one data centre's way to the platform.
type Port struct {
	p  *Platform
	dc string
}

var (
	_ objectstore.Store    = (*Port)(nil)
	_ objectstore.VMLister = (*Port)(nil)
)

var (
	errAway     = fault.New(fault.Unavailable, "try again", "platform away")
	errLost     = fault.New(fault.Unavailable, "read back", "answer lost")
	errConflict = fault.New(fault.Conflict, "read and try again", "version differs")
	errTimeout  = fault.New(fault.Timeout, "watch again", "nothing changed")
	errNone     = fault.New(fault.NotFound, "create it", "no such object")
)

// enter is called with the lock held.
func (t *Port) enter(call string) error {
	t.p.calls[call]++
	if t.p.away || t.p.awayFor[t.dc] {
		return errAway
	}
	return nil
}

// Get reads an object.
func (t *Port) Get(_ context.Context, name string) (objectstore.Object, error) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if err := t.enter("get"); err != nil {
		return objectstore.Object{}, err
	}
	o, ok := t.p.objects[name]
	if !ok {
		return objectstore.Object{}, errNone
	}
	return o, nil
}

// Put writes an object on a condition.
func (t *Port) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if err := t.enter("put"); err != nil {
		return 0, err
	}
	if t.p.frozen {
		return 0, errAway
	}
	if t.p.rng.Float64() < t.p.late {
		time.AfterFunc(time.Duration(t.p.rng.IntN(50))*time.Millisecond, func() {
			t.p.mu.Lock()
			defer t.p.mu.Unlock()
			_, _ = t.p.write(name, value, ifVersion)
		})
		return 0, errLost
	}
	v, err := t.p.write(name, value, ifVersion)
	if err == nil && t.p.rng.Float64() < t.p.lose {
		return 0, errLost
	}
	return v, err
}

func (p *Platform) write(name string, value []byte, ifVersion uint64) (uint64, error) {
	o := p.objects[name]
	if o.Version != ifVersion {
		return 0, errConflict
	}
	next := o.Version + 1 + uint64(p.rng.IntN(3))
	p.objects[name] = objectstore.Object{Name: name, Version: next, Value: slices.Clone(value)}
	p.wake()
	return next, nil
}

// Watch waits for a change.
func (t *Port) Watch(ctx context.Context, name string, after uint64) (objectstore.Object, error) {
	t.p.mu.Lock()
	err := t.enter("watch")
	for err == nil {
		o, changed := t.p.objects[name], t.p.changed
		if o.Version > after {
			t.p.mu.Unlock()
			return o, nil
		}
		t.p.mu.Unlock()
		select {
		case <-ctx.Done():
			return objectstore.Object{}, errTimeout
		case <-changed:
		}
		t.p.mu.Lock()
		if t.p.away || t.p.awayFor[t.dc] {
			err = errAway
		}
	}
	t.p.mu.Unlock()
	return objectstore.Object{}, err
}

// List gives names and versions.
func (t *Port) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if err := t.enter("list"); err != nil {
		return nil, err
	}
	var out []objectstore.Object
	for name, o := range t.p.objects {
		if strings.HasPrefix(name, prefix) {
			out = append(out, objectstore.Object{Name: name, Version: o.Version})
		}
	}
	return out, nil
}

// VMs gives the list of VMs.
func (t *Port) VMs(_ context.Context) ([]objectstore.VM, error) {
	t.p.mu.Lock()
	defer t.p.mu.Unlock()
	if err := t.enter("vms"); err != nil {
		return nil, err
	}
	return slices.Clone(t.p.vms), nil
}
