package ending

import (
	"errors"
	"io"
	"testing"
)

// TestEndIsBelievedOnlyOfAProcessThatLives guards against responses of killed endpoints that count as whole.
func TestEndIsBelievedOnlyOfAProcessThatLives(t *testing.T) {
	same, other := int64(7), int64(8)
	listed, known := Sender{EntryStartedAt: same}, Sender{StartedAt: same, EntryStartedAt: other}
	for _, tc := range []struct {
		name   string
		sender Sender
		o      Observation
		want   Evidence
		// whole and gone say whether the response is whole and whether its process is known to have ended.
		whole, gone bool
	}{
		{"its connection", listed, Observation{Answered: true, SameProcess: true}, Outlived, true, false},
		{"failed, on its connection", listed, Observation{Answered: true, Failed: true, SameProcess: true}, Outlived, true, false},
		{"other instance on its connection", listed, Observation{Answered: true, Misdirected: true, SameProcess: true}, Replaced, false, true},
		{"start time of the entry on a later connection", listed, Observation{Answered: true, Later: true, StartedAt: &same}, Outlived, true, false},
		{"start time of the entry on an older connection", listed, Observation{Answered: true, StartedAt: &same}, Unknown, false, false},
		{"other start time on a later connection", listed, Observation{Answered: true, Later: true, StartedAt: &other}, Replaced, false, true},
		{"other start time on an older connection", listed, Observation{Answered: true, StartedAt: &other}, Unknown, false, false},
		{"later lifetime that accepted before", listed, Observation{Answered: true, Later: true, StartedAt: &other, Accepted: true}, Outlived, true, false},
		{"later lifetime that accepted before, on an older connection", listed, Observation{Answered: true, StartedAt: &other, Accepted: true}, Unknown, false, false},
		{"start time of the sender", known, Observation{Answered: true, StartedAt: &same}, Outlived, true, false},
		{"start time of the entry, of another one than the sender", known, Observation{Answered: true, Later: true, StartedAt: &other}, Replaced, false, true},
		{"start time of a former process, of another one than the sender", known, Observation{Answered: true, StartedAt: &other}, Unknown, false, false},
		{"another one than the sender that accepted before", known, Observation{Answered: true, Later: true, StartedAt: &other, Accepted: true}, Replaced, false, true},
		{"no start time although the entry names one", listed, Observation{Answered: true, Later: true}, Unknown, false, false},
		{"no start time, the entry names none either", Sender{}, Observation{Answered: true}, SameInstance, true, false},
		{"failed", listed, Observation{Answered: true, Failed: true, Later: true}, Unknown, false, false},
		{"failed, start time of the entry", listed, Observation{Answered: true, Failed: true, Later: true, StartedAt: &same}, Outlived, true, false},
		{"failed, the entry names no start time", Sender{}, Observation{Answered: true, Failed: true}, Unknown, false, false},
		{"other instance", listed, Observation{Answered: true, Misdirected: true}, Replaced, false, true},
		{"refused", listed, Observation{Refused: true}, Refused, false, true},
		{"no answer", listed, Observation{}, Unknown, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Judge(tc.o, tc.sender)
			if got != tc.want || got.Whole() != tc.whole || (got.Err() == nil) != tc.whole || errors.Is(got.Err(), io.ErrUnexpectedEOF) != tc.gone {
				t.Errorf("got %s, whole %t, error %v", got, got.Whole(), got.Err())
			}
		})
	}
	if Empty.Whole() || Empty.Err() == nil {
		t.Error("a series of events without an event is whole")
	}
}
