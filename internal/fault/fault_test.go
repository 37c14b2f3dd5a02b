package fault_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

func TestDetailSurvivesWrappingAndRebuilding(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("outer: %w", fault.Wrap(cause, fault.Timeout, "wait", "call", fault.WithRun(fault.RunUnknown), fault.WithRetryAfter(time.Second)))
	d := fault.Describe(err)
	if d.Kind != fault.Timeout || d.Remedy != "wait" || d.Run != fault.RunUnknown || d.RetryAfter != time.Second {
		t.Errorf("got %+v", d)
	}
	if again := fault.Describe(d.Error()); again != d {
		t.Errorf("got %+v, want %+v", again, d)
	}
	if !errors.Is(err, cause) {
		t.Error("the cause is lost")
	}
}

func TestOutermostKindCounts(t *testing.T) {
	inner := fault.New(fault.OverPlan, "wait", "inner", fault.WithRun(fault.Ran))
	d := fault.Describe(fault.Wrap(inner, fault.Unavailable, "try again", "outer"))
	if d.Kind != fault.Unavailable || d.Remedy != "try again" || d.Run != fault.NotRun || d.Message != "outer: inner" {
		t.Errorf("got %+v", d)
	}
}

func TestForeignErrorsAreInternalAndNotRun(t *testing.T) {
	d := fault.Describe(errors.New("x"))
	if d.Kind != fault.Internal || d.Run != fault.NotRun || d.Remedy == "" {
		t.Errorf("got %+v", d)
	}
	if fault.Wrap(nil, fault.Internal, "", "") != nil || fault.Is(nil, fault.Internal) {
		t.Error("nil must stay nil")
	}
}
