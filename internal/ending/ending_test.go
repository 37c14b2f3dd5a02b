package ending

import (
	"errors"
	"io"
	"testing"
)

// TestEndIsBelievedOnlyOfAProcessThatLives guards against responses of killed endpoints that count as whole.
func TestEndIsBelievedOnlyOfAProcessThatLives(t *testing.T) {
	same, other := int64(7), int64(8)
	for _, tc := range []struct {
		name string
		o    Observation
		want Evidence
		// whole and gone say whether the response is whole and whether its process is known to have ended.
		whole, gone bool
	}{
		{"answer on an older connection", Observation{Answered: true, SameProcess: true}, Outlived, true, false},
		{"later lifetime that sent the response", Observation{Answered: true, SameProcess: true, StartedAt: &other}, Outlived, true, false},
		{"same start time", Observation{Answered: true, StartedAt: &same}, Outlived, true, false},
		{"no start time although the entry names one", Observation{Answered: true}, Unknown, false, false},
		{"failed", Observation{Answered: true, Failed: true}, Unknown, false, false},
		{"failed on an older connection", Observation{Answered: true, Failed: true, SameProcess: true}, Outlived, true, false},
		{"failed, same start time", Observation{Answered: true, Failed: true, StartedAt: &same}, Outlived, true, false},
		{"other start time", Observation{Answered: true, StartedAt: &other}, Replaced, false, true},
		{"other instance", Observation{Answered: true, Misdirected: true}, Replaced, false, true},
		{"other instance on an older connection", Observation{Answered: true, Misdirected: true, SameProcess: true}, Replaced, false, true},
		{"refused", Observation{Refused: true}, Refused, false, true},
		{"no answer", Observation{}, Unknown, false, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			got := Judge(tc.o, same)
			if got != tc.want || got.Whole() != tc.whole || (got.Err() == nil) != tc.whole || errors.Is(got.Err(), io.ErrUnexpectedEOF) != tc.gone {
				t.Errorf("got %s, whole %t, error %v", got, got.Whole(), got.Err())
			}
		})
	}
	if got := Judge(Observation{Answered: true}, 0); got != SameInstance {
		t.Errorf("no start time, the entry names none either: %s", got)
	}
	if Empty.Whole() || Empty.Err() == nil {
		t.Error("a series of events without an event is whole")
	}
}
