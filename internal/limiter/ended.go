package limiter

// maxEndedRequests is the number of ended reserve requests that a holder remembers. A request that
// is overtaken by its own settlement, or that duplicates one which was granted nothing, must not be
// granted tokens.
const maxEndedRequests = 4096

// endedRequests is the set of the grant IDs of the last maxEndedRequests requests that ended.
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
