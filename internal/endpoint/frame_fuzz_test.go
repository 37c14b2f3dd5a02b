package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// FuzzFrame feeds arbitrary lines to the readers of decode streams and of prefill answers:
// each gives a valid value or a typed fault with a statement about the run.
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
		frame, err := decodeFrame(raw)
		checkTyped(t, err)
		if err == nil {
			checkFrame(t, frame)
		}
		_, err = decodePrefill(raw)
		checkTyped(t, err)
		line, err := readLine(bufio.NewReaderSize(bytes.NewReader(raw), maxFrameBytes))
		if err == nil && bytes.ContainsRune(line, '\n') {
			t.Fatalf("a line holds its end: %q", line)
		}
	})
}

func checkTyped(t *testing.T, err error) {
	if err == nil {
		return
	}
	d := fault.Describe(err)
	switch d.Kind {
	case fault.Malformed, fault.TooLarge, fault.NotFound, fault.Conflict, fault.Overloaded, fault.Timeout, fault.Cancelled, fault.Unavailable:
	default:
		t.Fatalf("fault of kind %q: %v", d.Kind, err)
	}
	knownRun := d.Run == fault.NotRun || d.Run == fault.RunUnknown || d.Run == fault.Ran
	if !knownRun || d.Message == "" || d.Remedy == "" {
		t.Fatalf("fault without run, message or remedy: %+v", d)
	}
}

func checkFrame(t *testing.T, frame Frame) {
	if frame.Offset < 0 || frame.Attempt.Request == "" {
		t.Fatalf("took a broken frame: %+v", frame)
	}
	raw, err := json.Marshal(frame)
	if err != nil {
		t.Fatal(err)
	}
	again, err := decodeFrame(raw)
	if err != nil || again != frame {
		t.Fatalf("%+v came back as %+v, error %v", frame, again, err)
	}
}
