package dispatch

import (
	"errors"
	"slices"
	"testing"
)

func TestAttemptIsNotEndedUnlessAnotherCanFollow(t *testing.T) {
	errStep := errors.New("step failed")
	for fails, want := range map[string][]string{
		"obstacle": {"obstacle"},
		"claim":    {"obstacle", "claim"},
		"commit":   {"obstacle", "claim", "commit"},
		"":         {"obstacle", "claim", "commit"},
	} {
		var steps []string
		step := func(name string) error {
			steps = append(steps, name)
			if name == fails {
				return errStep
			}
			return nil
		}
		r := replacement{
			obstacle: func() error { return step("obstacle") },
			claim:    func() (*successor, error) { return &successor{}, step("claim") },
			commit:   func(*successor) error { return step("commit") },
		}
		if err := r.replace(); (err != nil) != (fails != "") || !slices.Equal(steps, want) {
			t.Errorf("%q fails: error %v, steps %v, want %v", fails, err, steps, want)
		}
	}
}
