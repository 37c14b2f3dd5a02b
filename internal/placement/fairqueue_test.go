package placement

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/clock"
)

func newQueueItem(workspace string, weight int, cost int64, at clock.Instant) *queuedRequest {
	r := Request{Workspace: workspace, Weight: weight}
	return &queuedRequest{request: r, cost: cost, arrivedAt: at, waitDeadline: at + 1_000_000}
}

// The weighted service of two workspaces that are always backlogged must never differ by more
// than one request of each, regardless of the load from other workspaces.
func TestBackloggedWorkspacesShareByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := newFairQueue(false)
		n := rapid.IntRange(2, 5).Draw(t, "workspaces")
		weights := rapid.SliceOfN(rapid.IntRange(1, 8), n, n).Draw(t, "weights")
		served := make([]float64, n)
		largest := make([]float64, n)
		queued := make([]int, n)
		add := func(w, burst int) {
			for range burst {
				cost := rapid.Int64Range(1, 5000).Draw(t, "cost")
				q.push(newQueueItem(fmt.Sprint(w), weights[w], cost, 1))
				largest[w] = max(largest[w], float64(cost)/float64(weights[w]))
				queued[w]++
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "rounds") {
			for w := range n {
				switch {
				case queued[w] == 0:
					add(w, 1)
				case rapid.Bool().Draw(t, "burst") && queued[w] < 20:
					add(w, 4)
				}
			}
			w := q.head()
			at := 0
			_, _ = fmt.Sscan(w.request.Workspace, &at)
			q.serve(w)
			served[at] += float64(w.cost) / float64(weights[at])
			queued[at]--
			if queued[at] == 0 {
				add(at, 1)
			}
			for a := range n {
				for b := range n {
					if served[a]-served[b] > largest[a]+largest[b]+1e-6 {
						t.Fatalf("workspace %d is %v ahead of workspace %d, want at most %v", a, served[a]-served[b], b, largest[a]+largest[b])
					}
				}
			}
		}
	})
}

// An idle workspace is served ahead of a busy one for maxCreditTokens plus one request. After
// that the two alternate.
func TestIdleWorkspaceCreditIsBounded(t *testing.T) {
	const cost = maxCreditTokens / 8
	q := newFairQueue(false)
	for range 100 {
		w := newQueueItem("busy", 1, cost, 1)
		q.push(w)
		q.serve(w)
	}
	for range 30 {
		q.push(newQueueItem("busy", 1, cost, 2))
		q.push(newQueueItem("idle", 1, cost, 2))
	}
	counts := map[string]int{}
	for range 30 {
		w := q.head()
		counts[w.request.Workspace]++
		q.serve(w)
	}
	if lead := counts["idle"] - counts["busy"]; lead < 8 || lead > 9 {
		t.Fatalf("served %v, want the idle workspace 8 or 9 requests ahead", counts)
	}
}

func TestQueueBoundsEvictFromBurstingWorkspace(t *testing.T) {
	q := newFairQueue(false)
	q.push(newQueueItem("good", 1, 100, 1))
	for i := range MaxQueuedPerWorkspace {
		if q.push(newQueueItem("burst", 1, 100, clock.Instant(i))) != nil {
			t.Fatalf("request %d was evicted within the limit", i)
		}
	}
	last := newQueueItem("burst", 1, 100, MaxQueuedPerWorkspace)
	if got := q.push(last); got != last {
		t.Fatalf("evicted %v, want the newest request of the burst", got)
	}
	total := newFairQueue(false)
	for i := range MaxQueued {
		workspace := fmt.Sprint(i % (MaxQueued / MaxQueuedPerWorkspace))
		if i >= MaxQueuedPerWorkspace && workspace == "0" {
			workspace = "1"
		}
		total.push(newQueueItem(workspace, 1, 100, clock.Instant(i)))
	}
	small := newQueueItem("small", 1, 1, clock.Instant(MaxQueued))
	evicted := total.push(small)
	for evicted == nil {
		evicted = total.push(newQueueItem("small", 1, 1, clock.Instant(MaxQueued)))
	}
	if evicted.request.Workspace != "1" {
		t.Fatalf("evicted a request of %q, want the workspace with the most tokens", evicted.request.Workspace)
	}
}

// Requests that may wait are ordered by wait deadline within a workspace.
func TestMayWaitOrderedByWaitDeadline(t *testing.T) {
	q := newFairQueue(true)
	for _, limit := range []clock.Instant{30, 10, 20, 10} {
		w := newQueueItem("w", 1, 1, 1)
		w.waitDeadline = limit
		q.push(w)
	}
	var got []clock.Instant
	for w := q.head(); w != nil; w = q.head() {
		got = append(got, w.waitDeadline)
		q.serve(w)
	}
	if fmt.Sprint(got) != "[10 10 20 30]" {
		t.Fatalf("served wait deadlines %v, want [10 10 20 30]", got)
	}
}
