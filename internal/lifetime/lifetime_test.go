package lifetime

import (
	"fmt"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/backend"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// TestLifetimeOfAConnection guards against connections that count as those of an entry although nothing that the endpoint said later
// than their opening shows it.
func TestLifetimeOfAConnection(t *testing.T) {
	opened := time.Now()
	before, after := opened.Add(-time.Second), opened.Add(time.Second)
	for _, tc := range []struct {
		name   string
		listed bool
		said   Said
		want   backend.LifetimeOutcome
	}{
		{"never asked", true, Said{}, backend.LifetimeOpen},
		{"never asked, not listed any more", false, Said{}, backend.LifetimeOpen},
		{"no answer", true, Said{unanswered: 1}, backend.LifetimeOpen},
		{"no answer, not listed any more", false, Said{unanswered: 1}, backend.LifetimeGone},
		{"reported after the connection", true, Said{ConfirmedAt: after}, backend.LifetimeReported},
		{"reported as the connection was opened", true, Said{ConfirmedAt: opened}, backend.LifetimeOpen},
		{"reported before it was gone", false, Said{ConfirmedAt: after, unanswered: 1}, backend.LifetimeReported},
		{"reported before the connection", true, Said{ConfirmedAt: before}, backend.LifetimeOpen},
		{"reported before the connection, gone", false, Said{ConfirmedAt: before, unanswered: 1}, backend.LifetimeGone},
		{"started again", true, Said{otherOpened: after}, backend.LifetimeOther},
		{"reported before the connection, started again", true, Said{ConfirmedAt: before, otherOpened: after}, backend.LifetimeOther},
		{"reported after the connection, started again since", true, Said{ConfirmedAt: after, otherOpened: after}, backend.LifetimeReported},
		{"another one on an older connection", true, Said{otherOpened: before}, backend.LifetimeOpen},
	} {
		t.Run(tc.name, func(t *testing.T) {
			if got := tc.said.Outcome(opened, tc.listed); got != tc.want {
				t.Errorf("%s, want %s", got, tc.want)
			}
		})
	}
}

// TestReportsOfAnEndpoint guards against answers that count for connections that were opened later, and against a process that counts as one
// that accepted connections earlier than it did.
func TestReportsOfAnEndpoint(t *testing.T) {
	var r Reports
	id, start := traffic.EndpointID{Name: "e", StartedAt: 7}, time.Now()
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	eight, nine := int64(8), int64(9)
	r.Add(id, Report{Opened: at(2), ReceivedAt: at(3), Answer: Same, StartedAt: &id.StartedAt})
	r.Add(id, Report{Opened: at(1), ReceivedAt: at(4), Answer: Same, StartedAt: &id.StartedAt})
	if got := r.Of(id).ConfirmedAt; !got.Equal(at(2)) {
		t.Errorf("confirmed at %v", got.Sub(start))
	}
	r.Add(id, Report{Opened: at(4), ReceivedAt: at(5), Answer: Other})
	r.Add(id, Report{Opened: at(5), ReceivedAt: at(6), Answer: Other, StartedAt: &eight})
	r.Add(id, Report{Opened: at(7), ReceivedAt: at(8), Answer: Other, StartedAt: &eight})
	for _, tc := range []struct {
		startedAt int64
		t         time.Time
		want      bool
	}{{8, at(7), true}, {8, at(6), false}, {9, at(7), false}, {7, at(7), false}} {
		if got := r.Of(id).AcceptedBefore(tc.startedAt, tc.t); got != tc.want {
			t.Errorf("start time %d before %v: %t", tc.startedAt, tc.t.Sub(start), got)
		}
	}
	r.Add(id, Report{Opened: at(9), ReceivedAt: at(10), Answer: Other, StartedAt: &nine})
	if said := r.Of(id); said.AcceptedBefore(9, at(10)) || !said.AcceptedBefore(9, at(11)) || said.AcceptedBefore(8, at(11)) {
		t.Error("the time of a former process counts for a later one")
	}
}

// TestQuestionsToAnEndpointAreFew guards against endpoints that are asked for each stream, or without end if they do not answer.
func TestQuestionsToAnEndpointAreFew(t *testing.T) {
	var r Reports
	id, now := traffic.EndpointID{Name: "e"}, time.Now()
	asked := 0
	for end := now.Add(2 * time.Minute); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if r.MayAsk(id, now) {
			asked++
			r.Add(id, Report{Opened: now, ReceivedAt: now, Answer: None})
		}
	}
	if asked > 80 {
		t.Errorf("asked %d times in two minutes without an answer", asked)
	}
	if r.Answers(id, now) {
		t.Error("a request waits for an answer that did not come lately")
	}
	r.Add(id, Report{Opened: now, ReceivedAt: now, Answer: Same})
	if !r.Answers(id, now) {
		t.Error("a request does not ask an endpoint that answers")
	}
	if r.MayAsk(id, now.Add(minPause-1)) || !r.MayAsk(id, now.Add(minPause)) {
		t.Error("not asked a pause after an answer")
	}
	for i := range 2 * maxEndpoints {
		r.MayAsk(traffic.EndpointID{Name: fmt.Sprint(i)}, now.Add(time.Duration(i)*time.Second))
	}
	if len(r.of) > maxEndpoints {
		t.Errorf("%d endpoints are remembered", len(r.of))
	}
}

// TestEndpointsInNeedAreAskedLess guards against questions that add to the requests of an endpoint which limits them, or wants none.
func TestEndpointsInNeedAreAskedLess(t *testing.T) {
	var r Reports
	id, now := traffic.EndpointID{Name: "e"}, time.Now()
	r.Hear(id, false, 3*time.Second, now)
	if r.MayAsk(id, now.Add(2*time.Second)) || r.Answers(id, now.Add(2*time.Second)) || !r.MayAsk(id, now.Add(3*time.Second)) {
		t.Error("asked during its pause, or not after it")
	}
	now = now.Add(time.Minute)
	r.Hear(id, true, 0, now)
	asked := 0
	for i := range 4000 {
		if at := now.Add(time.Duration(i) * time.Millisecond); r.Answers(id, at) {
			t.Fatal("requests ask an endpoint that limits them")
		} else if r.MayAsk(id, at) {
			asked++
			r.Add(id, Report{Opened: at, ReceivedAt: at, Answer: Same})
		}
	}
	if asked > 1 {
		t.Errorf("asked %d times in 4 s", asked)
	}
	if r.Hear(id, false, 0, now); !r.Answers(id, now.Add(time.Minute)) {
		t.Error("not asked after the end of the limit")
	}
}
