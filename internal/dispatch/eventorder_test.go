package dispatch

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// eventsOf returns events with the given ids.
func eventsOf(ids string) (events string) {
	for id := range strings.FieldsSeq(ids) {
		events += fmt.Sprintf("id: %s\ndata: x\n\n", id)
	}
	return events
}

// TestEventsOfAnotherRunAreNotJoined guards against streams with events that come twice, as an engine that continues them begins anew, and
// against sound events that are not delivered because their ids do not follow each other.
func TestEventsOfAnotherRunAreNotJoined(t *testing.T) {
	for _, tc := range []struct {
		name, after string
		// runs are the ids that the engines send one after the other, want those that are delivered of the last one.
		runs []string
		want string
		err  error
	}{
		{"in order", "", []string{"1 2 3"}, "1 2 3", nil},
		{"several tokens in an event", "", []string{"1 4 9"}, "1 4 9", nil},
		{"continued", "", []string{"1 2", "3 4"}, "3 4", nil},
		{"continued, several tokens in an event", "", []string{"1 3", "6 7"}, "6 7", nil},
		{"continued after one event", "", []string{"1", "4 5"}, "4 5", nil},
		{"continued by the caller", "7", []string{"8 9"}, "8 9", nil},
		{"continued by the caller, several tokens in an event", "7", []string{"9 12"}, "9 12", nil},
		{"goes back", "", []string{"1 2 1"}, "1 2", errEventRepeated},
		{"twice", "", []string{"1 2 2 3"}, "1 2", errEventRepeated},
		{"begins anew", "", []string{"1 2", "1 2 3"}, "", errEventRepeated},
		{"begins anew for the caller", "2", []string{"1 2 3"}, "", errEventRepeated},
		{"last event again", "", []string{"1 2", "2 3"}, "", errEventRepeated},
		{"several tokens in the first event of a continuation", "", []string{"1 2", "4 5"}, "4 5", nil},
		{"several tokens in the first event of the third engine", "", []string{"1 2", "3", "5"}, "5", nil},
		{"goes back after a gap", "", []string{"1 2", "4 5", "5 6"}, "", errEventRepeated},
		{"goes back into a gap", "", []string{"1 2", "5 6", "4 7"}, "", errEventRepeated},
		{"gap within a run", "", []string{"1 2 3 5 6"}, "1 2 3 5 6", nil},
		{"continued after a gap within a run", "", []string{"1 2 5", "9"}, "9", nil},
		{"no numbers", "", []string{"a b a", "a"}, "a", nil},
		{"a number after others", "", []string{"5 a 1"}, "5 a 1", nil},
	} {
		t.Run(tc.name, func(t *testing.T) {
			o := newEventOrder(tc.after)
			for i, run := range tc.runs {
				o.beginResponse()
				got, err := o.accept([]byte(eventsOf(run)))
				if last := i == len(tc.runs)-1; last && (string(got) != eventsOf(tc.want) || !errors.Is(err, tc.err)) || !last && err != nil {
					t.Errorf("run %d: got %q, error %v", i, got, err)
				}
			}
		})
	}
}

// TestOrderOfEventsWithOtherLines guards against events that are not checked for what else they consist of.
func TestOrderOfEventsWithOtherLines(t *testing.T) {
	o := newEventOrder("")
	whole := "weight-versions: 2\r\nid: 1\r\ndata: x\r\n\r\n: comment\n\n\ndata: no id\n\nid:2\ndata: id: 1\n\n"
	if got, err := o.accept([]byte(whole)); string(got) != whole || err != nil {
		t.Errorf("got %q, error %v", got, err)
	}
	if got, err := o.accept([]byte("data: y\nid: 2\n\n")); len(got) > 0 || !errors.Is(err, errEventRepeated) {
		t.Errorf("got %q, error %v", got, err)
	}
}

// TestGapsInContinuedStreamsAreCounted guards against logs that do not tell whether an engine goes on with the next id.
func TestGapsInContinuedStreamsAreCounted(t *testing.T) {
	for _, tc := range []struct {
		after string
		runs  []string
		want  uint64
	}{
		{"", []string{"3 4"}, 0},
		{"", []string{"1 2 5"}, 0},
		{"", []string{"1 2", "3 7"}, 0},
		{"", []string{"1 2", "5 6"}, 2},
		{"", []string{"1 2", "5 6", "7"}, 0},
		{"7", []string{"9"}, 1},
		{"x", []string{"9"}, 0},
	} {
		o := newEventOrder(tc.after)
		for _, run := range tc.runs {
			o.beginResponse()
			if _, err := o.accept([]byte(eventsOf(run))); err != nil {
				t.Errorf("%v: %v", tc.runs, err)
			}
		}
		if o.gap != tc.want {
			t.Errorf("after %q %v: got a gap of %d, want %d", tc.after, tc.runs, o.gap, tc.want)
		}
	}
}
