package fault_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/fault"
)

func TestDetailRoundTrip(t *testing.T) {
	cause := errors.New("cause")
	err := fmt.Errorf("outer: %w", fault.Wrap(cause, fault.Timeout, "wait", "call", fault.WithRun(fault.RunUnknown), fault.WithRetryAfter(time.Second)))
	d := fault.Describe(err)
	if d.Kind != fault.Timeout || d.Remedy != "wait" || d.Run != fault.RunUnknown || d.RetryAfter != time.Second {
		t.Errorf("got %+v", d)
	}
	if again := fault.Describe(d.Error()); again != d {
		t.Errorf("round trip returned %+v, want %+v", again, d)
	}
	if !errors.Is(err, cause) {
		t.Error("errors.Is does not find the cause")
	}
}

func TestWrapReplacesDetails(t *testing.T) {
	inner := fault.New(fault.OverPlan, "wait", "inner", fault.WithRun(fault.Ran))
	d := fault.Describe(fault.Wrap(inner, fault.Unavailable, "try again", "outer"))
	if d.Kind != fault.Unavailable || d.Remedy != "try again" || d.Run != fault.NotRun || d.Message != "outer: inner" {
		t.Errorf("got %+v", d)
	}
}

func TestDescribeUntypedError(t *testing.T) {
	d := fault.Describe(errors.New("x"))
	if d.Kind != fault.Internal || d.Run != fault.NotRun || d.Remedy == "" {
		t.Errorf("got %+v", d)
	}
	if fault.Wrap(nil, fault.Internal, "", "") != nil || fault.Is(nil, fault.Internal) {
		t.Error("Wrap(nil) or Is(nil) treats nil as an error")
	}
}
