package bodybuffer

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/VictoriaMetrics/metrics"
)

func TestBodyTakesFromTheBudgetAsItGrows(t *testing.T) {
	errBroken := errors.New("broken")
	for _, tc := range []struct {
		name   string
		body   io.Reader
		limit  int64
		most   int
		length int
		err    error
	}{
		{"empty", strings.NewReader(""), 1 << 20, 100, 0, nil},
		{"small", strings.NewReader("abc"), 1 << 20, 100, 3, nil},
		{"as long as allowed", strings.NewReader(strings.Repeat("x", 10_000)), 1 << 20, 10_000, 10_000, nil},
		{"one byte longer", strings.NewReader(strings.Repeat("x", 10_001)), 1 << 20, 10_000, 10_001, ErrTooLong},
		{"byte by byte", iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), 1 << 20, 10_000, 9000, nil},
		{"budget used up", strings.NewReader(strings.Repeat("x", 10_000)), 10_000, 1 << 20, 4096, ErrBudgetUsedUp},
		{"no budget", strings.NewReader("x"), 0, 100, 0, ErrBudgetUsedUp},
		{"broken", io.MultiReader(strings.NewReader("abc"), iotest.ErrReader(errBroken)), 1 << 20, 100, 3, errBroken},
	} {
		t.Run(tc.name, func(t *testing.T) {
			budget := NewBudget(tc.limit, metrics.NewSet())
			body := budget.NewBody()
			if err := body.Read(tc.body, tc.most); !errors.Is(err, tc.err) {
				t.Errorf("error %v, want %v", err, tc.err)
			}
			if len(body.Bytes()) != tc.length {
				t.Errorf("%d bytes, want %d", len(body.Bytes()), tc.length)
			}
			if budget.Used() > tc.limit {
				t.Errorf("%d bytes in use of %d", budget.Used(), tc.limit)
			}
			body.Release()
			body.Release()
			if budget.Used() != 0 {
				t.Errorf("%d bytes in use after the release", budget.Used())
			}
		})
	}
}

func TestReserveRefusesWhatDoesNotFit(t *testing.T) {
	budget := NewBudget(100, metrics.NewSet())
	body, other := budget.NewBody(), budget.NewBody()
	if err := body.Reserve(60); err != nil {
		t.Fatal(err)
	}
	if err := other.Reserve(60); !errors.Is(err, ErrBudgetUsedUp) {
		t.Errorf("error %v", err)
	}
	if err := body.Read(bytes.NewReader(make([]byte, 60)), 60); err != nil || budget.Used() != 61 {
		t.Errorf("error %v, %d bytes in use", err, budget.Used())
	}
}
