package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// FuzzFrame passes arbitrary lines to the parsers of decode streams and prefill responses. Each must
// return a valid value, or an error that states its kind and whether the request was executed.
func FuzzFrame(f *testing.F) {
	for _, seed := range []string{
		`{"attempt":{"request":"r.a.1.1","number":1},"started":true,"offset":0}`,
		`{"attempt":{"request":"r.a.1.1","number":1},"offset":3,"text":"t3-9 "}`,
		`{"attempt":{"request":"r.a.1.1","number":1},"offset":-1,"text":"x"}`,
		`{"attempt":{"request":"r.a.1.1","number":4294967296},"offset":9,"done":true,"finish":"stop"}`,
		`{"error":{"kind":"not_found","message":"gone","run":"not_run"}}`,
		`{"error":{"run":"nonsense"}}`, `{"result":{"handle":"h","keep_millis":800}}`, `{"result":null}`,
		`null`, `[]`, `{`, "\xff\xfe", "", "{}\n{}", strings.Repeat("[", 20000),
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		frame, err := parseFrame(raw)
		checkError(t, err)
		if err == nil {
			checkFrame(t, frame)
		}
		_, err = parsePrefillResponse(raw)
		checkError(t, err)
		line, err := readLine(bufio.NewReaderSize(bytes.NewReader(raw), maxLineBytes))
		if err == nil && bytes.ContainsRune(line, '\n') {
			t.Fatalf("line contains a newline: %q", line)
		}
	})
}

func checkError(t *testing.T, err error) {
	if err == nil {
		return
	}
	d := fault.DetailOf(err)
	switch d.Kind {
	case fault.Malformed, fault.TooLarge, fault.NotFound, fault.Conflict, fault.Overloaded, fault.Timeout, fault.Cancelled, fault.Unavailable:
	default:
		t.Fatalf("error of unexpected kind %q: %v", d.Kind, err)
	}
	knownExecution := d.Execution == fault.NotExecuted || d.Execution == fault.ExecutionUnknown || d.Execution == fault.Executed
	if !knownExecution || d.Message == "" || d.Remedy == "" {
		t.Fatalf("error does not state execution, message and remedy: %+v", d)
	}
}

func checkFrame(t *testing.T, frame Frame) {
	if frame.Offset < 0 || frame.Attempt.RequestID == "" {
		t.Fatalf("accepted an invalid frame: %+v", frame)
	}
	raw, err := json.Marshal(frame)
	if err != nil {
		t.Fatal(err)
	}
	again, err := parseFrame(raw)
	if err != nil || again != frame {
		t.Fatalf("frame %+v became %+v after a round trip, error %v", frame, again, err)
	}
}
