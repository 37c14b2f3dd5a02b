package limiter

// endedMemory is the number of ended parts that a holder remembers, so that a reserve
// request that comes after its own settlement takes nothing.
const endedMemory = 4096

// endedParts remembers the newest endedMemory ids.
type endedParts struct {
	ids  map[partID]struct{}
	ring []partID
	next int
}

func newEndedParts() endedParts {
	return endedParts{ids: map[partID]struct{}{}, ring: make([]partID, 0, endedMemory)}
}

func (e *endedParts) has(id partID) bool {
	_, ok := e.ids[id]
	return ok
}

func (e *endedParts) add(id partID) {
	if e.has(id) {
		return
	}
	e.ids[id] = struct{}{}
	if len(e.ring) < endedMemory {
		e.ring = append(e.ring, id)
		return
	}
	delete(e.ids, e.ring[e.next])
	e.ring[e.next] = id
	e.next = (e.next + 1) % endedMemory
}
