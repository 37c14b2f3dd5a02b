package main

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
)

const (
	probePeriod  = 250 * time.Millisecond
	probeTimeout = 200 * time.Millisecond
	// maxProbeFailures is the number of consecutive failed probes after which a VM gets no more calls.
	maxProbeFailures = 2
)

// balancer determines which VMs accept calls by probing their readiness endpoints, as the load
// balancer of the platform does.
type balancer struct {
	fleet  *fleet.Fleet
	client *http.Client

	mu sync.Mutex
	// failures counts consecutive failed probes by process ID. It contains only processes that have
	// passed a probe.
	failures map[int]int
}

func newBalancer(f *fleet.Fleet) *balancer {
	transport := &http.Transport{DisableKeepAlives: true}
	return &balancer{fleet: f, client: &http.Client{Transport: transport, Timeout: probeTimeout}, failures: make(map[int]int)}
}

// targets returns the VMs that accept calls.
func (b *balancer) targets() []experiment.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []experiment.Target
	for _, d := range b.fleet.Daemons() {
		if failed, known := b.failures[d.PID()]; known && failed < maxProbeFailures {
			out = append(out, experiment.Target{VM: d.VM, Address: d.Callers})
		}
	}
	return out
}

func (b *balancer) run(ctx context.Context) {
	ticks := time.NewTicker(probePeriod)
	defer ticks.Stop()
	for {
		select {
		case <-ticks.C:
			b.probeAll()
		case <-ctx.Done():
			return
		}
	}
}

// probeAll probes every VM once.
func (b *balancer) probeAll() {
	var wg sync.WaitGroup
	for _, d := range b.fleet.Daemons() {
		wg.Add(1)
		go func() {
			defer wg.Done()
			b.probe(d)
		}()
	}
	wg.Wait()
}

func (b *balancer) probe(d *fleet.Daemon) {
	resp, err := b.client.Get("http://" + d.Operator.String() + "/readyz")
	ok := err == nil && resp.StatusCode == http.StatusOK
	if err == nil {
		_ = resp.Body.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if ok {
		b.failures[d.PID()] = 0
		return
	}
	if _, known := b.failures[d.PID()]; known {
		b.failures[d.PID()]++
	}
}
