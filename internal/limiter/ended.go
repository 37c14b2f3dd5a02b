package limiter

// maxEndedRequests is the number of ended reserve requests that a holder remembers, so that a
// request that arrives after its own settlement is not granted.
const maxEndedRequests = 4096

// endedRequests is the set of the most recent maxEndedRequests request IDs.
type endedRequests struct {
	ids  map[grantID]struct{}
	ring []grantID
	next int
}

func newEndedRequests() endedRequests {
	return endedRequests{ids: map[grantID]struct{}{}, ring: make([]grantID, 0, maxEndedRequests)}
}

func (e *endedRequests) has(id grantID) bool {
	_, ok := e.ids[id]
	return ok
}

func (e *endedRequests) add(id grantID) {
	if e.has(id) {
		return
	}
	e.ids[id] = struct{}{}
	if len(e.ring) < maxEndedRequests {
		e.ring = append(e.ring, id)
		return
	}
	delete(e.ids, e.ring[e.next])
	e.ring[e.next] = id
	e.next = (e.next + 1) % maxEndedRequests
}
