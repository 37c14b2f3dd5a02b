package main

import (
	"net/http"
	"slices"
	"sync"
)

// runs holds what servers have run, by the ids of the requests.
type runs struct {
	run *run

	mu sync.Mutex
	by map[string][]string
}

func newRuns(r *run) *runs { return &runs{run: r, by: map[string][]string{}} }

// add notes that a server runs a request.
func (n *runs) add(s *server, r *http.Request, _ []byte) {
	id := r.Header.Get("Request-Attempt-Id")
	n.mu.Lock()
	n.by[id] = append(n.by[id], s.id)
	n.mu.Unlock()
	n.run.note("server %s (%s) runs %s: %s %s, tenant %q", s.id, s.service, id, r.Method, r.URL, r.Header.Get("Tenant"))
}

// of returns the servers that have run a request.
func (n *runs) of(id string) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.by[id])
}
