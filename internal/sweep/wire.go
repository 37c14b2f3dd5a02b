package sweep

import "github.com/fulmartide/fulmartide/internal/ident"

// liveMessage asks a VM which requests of one of its lives are live.
type liveMessage struct {
	About  ident.VM    `msgpack:"a"`
	Groups []liveGroup `msgpack:"g"`
}

// liveGroup holds the requests at one endpoint.
type liveGroup struct {
	Endpoint string   `msgpack:"e"`
	Seqs     []uint64 `msgpack:"s"`
}

// liveReply gives the positions, over all groups in order, of requests that are not live.
type liveReply struct {
	Dead []int `msgpack:"d,omitempty"`
}

// newLiveMessage groups held, which is ordered by endpoint.
func newLiveMessage(about ident.VM, held []Held) liveMessage {
	m := liveMessage{About: about}
	for _, h := range held {
		n := len(m.Groups)
		if n == 0 || m.Groups[n-1].Endpoint != h.Endpoint {
			m.Groups = append(m.Groups, liveGroup{Endpoint: h.Endpoint})
			n++
		}
		m.Groups[n-1].Seqs = append(m.Groups[n-1].Seqs, h.Request.Seq)
	}
	return m
}

// held gives the holdings that m names, in order.
func (m *liveMessage) held() []Held {
	var out []Held
	for _, g := range m.Groups {
		for _, seq := range g.Seqs {
			out = append(out, Held{Endpoint: g.Endpoint, Request: ident.RequestID{VM: m.About, Seq: seq}})
		}
	}
	return out
}

// dead gives those of asked whose positions the reply names.
func (r *liveReply) dead(asked []Held) []Held {
	var out []Held
	for _, i := range r.Dead {
		if i >= 0 && i < len(asked) {
			out = append(out, asked[i])
		}
	}
	return out
}
