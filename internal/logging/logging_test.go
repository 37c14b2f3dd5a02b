package logging_test

import (
	"bytes"
	"strings"
	"testing"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/logging"
)

func TestEventIsOneLogfmtLine(t *testing.T) {
	var out bytes.Buffer
	level, err := logging.ParseLevel("info")
	if err != nil {
		t.Fatal(err)
	}
	log := logging.New(&out, level)
	err = fault.New(fault.Timeout, "wait", "two words")
	log.With(zap.Error(err)).Info("placed", zap.String("endpoint", "d1"), zap.NamedError("cause", err))
	log.Debug("hidden")
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 1 {
		t.Fatalf("got %d lines, want 1: %q", len(lines), lines)
	}
	for _, want := range []string{"level=info", "msg=placed", "endpoint=d1", `error="two words"`, `cause="two words"`} {
		if !strings.Contains(lines[0], want) {
			t.Errorf("%s is missing in %s", want, lines[0])
		}
	}
	if strings.Contains(lines[0], "Trace") {
		t.Errorf("the line contains a stack trace: %s", lines[0])
	}
}

func TestUnknownLevelIsRejected(t *testing.T) {
	if _, err := logging.ParseLevel("loud"); !fault.Is(err, fault.Malformed) {
		t.Errorf("got %v, want Malformed", err)
	}
}
