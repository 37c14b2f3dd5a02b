package sweep

import "github.com/fulmartide/fulmartide/internal/ident"

// livenessRequest asks a VM which requests of one of its incarnations are live.
type livenessRequest struct {
	Subject ident.VM        `msgpack:"a"`
	Groups  []livenessGroup `msgpack:"g"`
}

// livenessGroup contains the sequence numbers of the requests at one endpoint.
type livenessGroup struct {
	Endpoint string   `msgpack:"e"`
	Seqs     []uint64 `msgpack:"s"`
}

// livenessResponse contains the indices of the requests that are not live, counted across all groups in order.
type livenessResponse struct {
	NotLive []int `msgpack:"d,omitempty"`
}

// newLivenessRequest groups the allocations, which must be sorted by endpoint.
func newLivenessRequest(subject ident.VM, allocations []AllocationKey) livenessRequest {
	m := livenessRequest{Subject: subject}
	for _, key := range allocations {
		n := len(m.Groups)
		if n == 0 || m.Groups[n-1].Endpoint != key.Endpoint {
			m.Groups = append(m.Groups, livenessGroup{Endpoint: key.Endpoint})
			n++
		}
		m.Groups[n-1].Seqs = append(m.Groups[n-1].Seqs, key.Request.Seq)
	}
	return m
}

// allocations returns the keys of the allocations in m, in order.
func (m *livenessRequest) allocations() []AllocationKey {
	var keys []AllocationKey
	for _, g := range m.Groups {
		for _, seq := range g.Seqs {
			keys = append(keys, AllocationKey{Endpoint: g.Endpoint, Request: ident.RequestID{VM: m.Subject, Seq: seq}})
		}
	}
	return keys
}

// notLive returns the queried allocations whose indices are in the response.
func (r *livenessResponse) notLive(queried []AllocationKey) []AllocationKey {
	var keys []AllocationKey
	for _, i := range r.NotLive {
		if i >= 0 && i < len(queried) {
			keys = append(keys, queried[i])
		}
	}
	return keys
}
