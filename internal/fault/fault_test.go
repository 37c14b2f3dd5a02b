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
	err := fmt.Errorf("outer: %w", fault.Wrap(cause, fault.Timeout, "wait", "call", fault.WithExecution(fault.ExecutionUnknown), fault.WithRetryAfter(time.Second)))
	d := fault.DetailOf(err)
	if d.Kind != fault.Timeout || d.Remedy != "wait" || d.Execution != fault.ExecutionUnknown || d.RetryAfter != time.Second {
		t.Errorf("got %+v", d)
	}
	if again := fault.DetailOf(d.Err()); again != d {
		t.Errorf("round trip returned %+v, want %+v", again, d)
	}
	if !errors.Is(err, cause) {
		t.Error("errors.Is does not find the cause")
	}
}

func TestWrapReplacesDetails(t *testing.T) {
	inner := fault.New(fault.PlanExceeded, "wait", "inner", fault.WithExecution(fault.Executed))
	d := fault.DetailOf(fault.Wrap(inner, fault.Unavailable, "try again", "outer"))
	if d.Kind != fault.Unavailable || d.Remedy != "try again" || d.Execution != fault.NotExecuted || d.Message != "outer: inner" {
		t.Errorf("got %+v", d)
	}
}

func TestDescribeUntypedError(t *testing.T) {
	d := fault.DetailOf(errors.New("x"))
	if d.Kind != fault.Internal || d.Execution != fault.NotExecuted || d.Remedy == "" {
		t.Errorf("got %+v", d)
	}
	if fault.Wrap(nil, fault.Internal, "", "") != nil || fault.Is(nil, fault.Internal) {
		t.Error("Wrap(nil) or Is(nil) treats nil as an error")
	}
}
