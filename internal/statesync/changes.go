package statesync

import (
	"hash/fnv"
	"net/netip"
	"slices"

	"github.com/fulmartide/fulmartide/internal/schedule"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// changes collects the changed work of this VM until it is sent. It does no I/O.
type changes struct {
	// pending is changed work that has not been sent yet, by data centre of the endpoints.
	pending map[string]map[traffic.EndpointID]pendingWork
	// calls is the number of calls of this VM at each endpoint where it has any.
	calls map[traffic.EndpointID]int
}

// pendingWork is the new work of this VM at an endpoint. grown is set if it was more than before at some
// time since the last send.
type pendingWork struct {
	work  schedule.Work
	grown bool
}

func newChanges() *changes {
	return &changes{pending: map[string]map[traffic.EndpointID]pendingWork{}, calls: map[traffic.EndpointID]int{}}
}

// add records the new work at an endpoint. A later change replaces one that has not been sent.
func (c *changes) add(id traffic.EndpointID, dataCentre string, w schedule.Work) {
	if c.pending[dataCentre] == nil {
		c.pending[dataCentre] = map[traffic.EndpointID]pendingWork{}
	}
	grown := w.Calls > c.calls[id] || c.pending[dataCentre][id].grown
	c.pending[dataCentre][id] = pendingWork{work: w, grown: grown}
	c.calls[id] = w.Calls
	if w.Calls == 0 {
		delete(c.calls, id)
	}
}

// addPace records that all VMs are to be told of an endpoint, with the work w of this VM there.
func (c *changes) addPace(id traffic.EndpointID, dataCentre string, w schedule.Work) {
	c.add(id, dataCentre, w)
	c.pending[dataCentre][id] = pendingWork{work: w, grown: true}
}

// take removes and returns the pending changes by data centre: the endpoints where work has grown, and
// those where it has only shrunk.
func (c *changes) take() (grown, shrunk map[string]map[traffic.EndpointID]schedule.Work) {
	grown, shrunk = map[string]map[traffic.EndpointID]schedule.Work{}, map[string]map[traffic.EndpointID]schedule.Work{}
	for dataCentre, work := range c.pending {
		for id, p := range work {
			to := shrunk
			if p.grown {
				to = grown
			}
			if to[dataCentre] == nil {
				to[dataCentre] = map[traffic.EndpointID]schedule.Work{}
			}
			to[dataCentre][id] = p.work
		}
	}
	clear(c.pending)
	return grown, shrunk
}

// releaseSubset is the number of VMs of a data centre that are told at once when work at an endpoint
// shrinks. The others learn of it from the next full heartbeat and prefer other endpoints until then.
// So the messages to a VM do not grow with the number of VMs of its data centre.
const releaseSubset = 16

// subsets returns into how many subsets n VMs are divided.
func subsets(n int) int { return max(1, n/releaseSubset) }

// subsetOf returns the subset that is told of released work at an endpoint. All VMs compute the same.
func subsetOf(id traffic.EndpointID, subsets int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id.Name))
	return int(h.Sum32()) % subsets
}

// bySubset divides work by the subset of VMs that is told of it.
func bySubset(work map[traffic.EndpointID]schedule.Work, subsets int) map[int]map[traffic.EndpointID]schedule.Work {
	out := map[int]map[traffic.EndpointID]schedule.Work{}
	for id, w := range work {
		i := subsetOf(id, subsets)
		if out[i] == nil {
			out[i] = map[traffic.EndpointID]schedule.Work{}
		}
		out[i][id] = w
	}
	return out
}

// subset returns the addresses of one subset, without the address self. All VMs pass the same addresses.
func subset(addresses []netip.AddrPort, i, subsets int, self netip.AddrPort) []netip.AddrPort {
	addresses = slices.SortedFunc(slices.Values(addresses), netip.AddrPort.Compare)
	var out []netip.AddrPort
	for ; i < len(addresses); i += subsets {
		if addresses[i] != self {
			out = append(out, addresses[i])
		}
	}
	return out
}
