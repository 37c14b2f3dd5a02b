// Package controlfleet runs the membership, configuration and key services of several VMs in one
// process, over TCP on loopback, with an in-memory platform that can simulate faults.
package controlfleet

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

// Platform is an in-memory object store and list of VMs.
type Platform struct {
	mu             sync.Mutex
	objects        map[string]objectstore.Object
	changed        chan struct{}
	vms            []objectstore.VM
	unavailable    bool
	readOnly       bool
	unavailableFor map[string]bool
	lossRate       float64
	delayRate      float64
	rng            *rand.Rand
	calls          map[string]int
}

// NewPlatform returns an empty platform. seed determines which responses are lost, which
// writes are delayed, and the version numbers.
func NewPlatform(seed uint64) *Platform {
	return &Platform{
		objects:        map[string]objectstore.Object{},
		changed:        make(chan struct{}),
		unavailableFor: map[string]bool{},
		rng:            rand.New(rand.NewPCG(seed, 2)),
		calls:          map[string]int{},
	}
}

// SetUnavailable makes all calls fail without effect while unavailable is true.
func (p *Platform) SetUnavailable(unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailable = unavailable
	p.notifyWatchers()
}

// SetReadOnly makes writes fail without effect while readOnly is true.
func (p *Platform) SetReadOnly(readOnly bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readOnly = readOnly
}

// SetUnavailableFor makes the calls of one data centre fail without effect while unavailable is true.
func (p *Platform) SetUnavailableFor(dataCentre string, unavailable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unavailableFor[dataCentre] = unavailable
	p.notifyWatchers()
}

// SetWriteFaults sets the fractions of writes that return an error although they may take effect. With
// lossRate the write takes effect and only its response is lost; with delayRate the write is attempted
// only after the call has failed.
func (p *Platform) SetWriteFaults(lossRate, delayRate float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lossRate, p.delayRate = lossRate, delayRate
}

// TakeCalls returns the number of calls by name since the last TakeCalls.
func (p *Platform) TakeCalls() map[string]int {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.calls
	p.calls = map[string]int{}
	return out
}

// CallCount returns the number of calls with this name since the last TakeCalls.
func (p *Platform) CallCount(name string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls[name]
}

// SetListed adds a VM to the list of VMs, or removes it.
func (p *Platform) SetListed(vm objectstore.VM, listed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = slices.DeleteFunc(p.vms, func(v objectstore.VM) bool { return v.Name == vm.Name })
	if listed {
		p.vms = append(p.vms, vm)
	}
}

// ClientFor returns a client for the VMs of a data centre.
func (p *Platform) ClientFor(dataCentre string) *Client { return &Client{p, dataCentre} }

func (p *Platform) notifyWatchers() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// Client accesses the platform from one data centre.
type Client struct {
	p  *Platform
	dc string
}

var (
	_ objectstore.Store    = (*Client)(nil)
	_ objectstore.VMLister = (*Client)(nil)
)

var (
	errUnavailable  = fault.New(fault.Unavailable, "try again", "platform unavailable")
	errResponseLost = fault.New(fault.Unavailable, "read the object to see whether the write took effect", "response lost")
	errConflict     = fault.New(fault.Conflict, "read and try again", "the object's version is not the expected one")
	errTimeout      = fault.New(fault.Timeout, "watch again", "object unchanged")
	errNotFound     = fault.New(fault.NotFound, "create it", "no such object")
)

// admit counts a call and fails if the platform is unavailable. The caller must hold the lock.
func (c *Client) admit(call string) error {
	c.p.calls[call]++
	if c.p.unavailable || c.p.unavailableFor[c.dc] {
		return errUnavailable
	}
	return nil
}

// Get reads an object.
func (c *Client) Get(_ context.Context, name string) (objectstore.Object, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if err := c.admit("get"); err != nil {
		return objectstore.Object{}, err
	}
	o, ok := c.p.objects[name]
	if !ok {
		return objectstore.Object{}, errNotFound
	}
	return o, nil
}

// Put writes an object if its version is ifVersion.
func (c *Client) Put(_ context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if err := c.admit("put"); err != nil {
		return 0, err
	}
	if c.p.readOnly {
		return 0, errUnavailable
	}
	if c.p.rng.Float64() < c.p.delayRate {
		time.AfterFunc(time.Duration(c.p.rng.IntN(50))*time.Millisecond, func() {
			c.p.mu.Lock()
			defer c.p.mu.Unlock()
			_, _ = c.p.write(name, value, ifVersion)
		})
		return 0, errResponseLost
	}
	v, err := c.p.write(name, value, ifVersion)
	if err == nil && c.p.rng.Float64() < c.p.lossRate {
		return 0, errResponseLost
	}
	return v, err
}

func (p *Platform) write(name string, value []byte, ifVersion uint64) (uint64, error) {
	o := p.objects[name]
	if o.Version != ifVersion {
		return 0, errConflict
	}
	// Versions increase with gaps, as callers must not assume consecutive versions.
	next := o.Version + 1 + uint64(p.rng.IntN(3))
	p.objects[name] = objectstore.Object{Name: name, Version: next, Value: slices.Clone(value)}
	p.notifyWatchers()
	return next, nil
}

// Watch waits until the version of an object is above after.
func (c *Client) Watch(ctx context.Context, name string, after uint64) (objectstore.Object, error) {
	c.p.mu.Lock()
	err := c.admit("watch")
	for err == nil {
		o, changed := c.p.objects[name], c.p.changed
		if o.Version > after {
			c.p.mu.Unlock()
			return o, nil
		}
		c.p.mu.Unlock()
		select {
		case <-ctx.Done():
			return objectstore.Object{}, errTimeout
		case <-changed:
		}
		c.p.mu.Lock()
		if c.p.unavailable || c.p.unavailableFor[c.dc] {
			err = errUnavailable
		}
	}
	c.p.mu.Unlock()
	return objectstore.Object{}, err
}

// List returns the names and versions of the objects whose names start with prefix.
func (c *Client) List(_ context.Context, prefix string) ([]objectstore.Object, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if err := c.admit("list"); err != nil {
		return nil, err
	}
	var out []objectstore.Object
	for name, o := range c.p.objects {
		if strings.HasPrefix(name, prefix) {
			out = append(out, objectstore.Object{Name: name, Version: o.Version})
		}
	}
	return out, nil
}

// VMs returns the list of VMs.
func (c *Client) VMs(_ context.Context) ([]objectstore.VM, error) {
	c.p.mu.Lock()
	defer c.p.mu.Unlock()
	if err := c.admit("vms"); err != nil {
		return nil, err
	}
	return slices.Clone(c.p.vms), nil
}
