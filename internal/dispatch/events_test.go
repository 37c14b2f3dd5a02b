package dispatch

import (
	"bytes"
	"strings"
	"testing"
)

// split feeds a buffer with pieces whose lengths repeat, and returns the complete events and what follows them.
func split(stream []byte, lengths []byte) (events, rest []byte) {
	var b eventBuffer
	for i := 0; len(stream) > 0; i++ {
		n := len(stream)
		if len(lengths) > 0 {
			n = min(n, 1+int(lengths[i%len(lengths)])%7)
		}
		b.write(stream[:n])
		events = append(events, b.events()...)
		b.discardEvents()
		stream = stream[n:]
	}
	return events, b.rest()
}

func TestEventBuffer(t *testing.T) {
	for _, tc := range []struct{ stream, events string }{
		{"", ""},
		{"data: a", ""},
		{"data: a\n", ""},
		{"data: a\n\n", "data: a\n\n"},
		{"data: a\r\n\r\n", "data: a\r\n\r\n"},
		{"data: a\n\r\n", "data: a\n\r\n"},
		{"data: a\n\r", ""},
		{"data: a\r\r", ""},
		{"data: a\n\ndata: b\n", "data: a\n\n"},
		{"data: a\n\ndata: b\n\n\n", "data: a\n\ndata: b\n\n\n"},
		{"\n", ""},
		{"\n\ndata", "\n\n"},
	} {
		if events, rest := split([]byte(tc.stream), nil); string(events) != tc.events || string(events)+string(rest) != tc.stream {
			t.Errorf("%q has the events %q and the rest %q, want the events %q", tc.stream, events, rest, tc.events)
		}
	}
}

// FuzzEventBuffer checks that the pieces in which a stream arrives do not matter. Empty lines after an event may be
// taken for the beginning of the next one.
func FuzzEventBuffer(f *testing.F) {
	for _, stream := range []string{"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n", "\n\r\n\n", "a\n\n\n\nb", "a\r\n\r", ": comment\n\ndata\n\r\n"} {
		f.Add([]byte(stream), []byte{0, 2})
	}
	f.Fuzz(func(t *testing.T, stream, lengths []byte) {
		whole, wholeRest := split(stream, nil)
		pieces, rest := split(stream, lengths)
		if !bytes.Equal(append(pieces, rest...), append(whole, wholeRest...)) {
			t.Fatalf("bytes are lost: %q", stream)
		}
		if !bytes.Equal(bytes.Trim(rest, "\r\n"), bytes.Trim(wholeRest, "\r\n")) {
			t.Fatalf("the rest is %q in pieces, %q in one", rest, wholeRest)
		}
	})
}

// BenchmarkUnfinishedEvent receives one event of 256 KiB of short lines in pieces of 96 bytes.
func BenchmarkUnfinishedEvent(b *testing.B) {
	piece := []byte(strings.Repeat("data: x\n", 12))
	for b.Loop() {
		var buffer eventBuffer
		for range 256 << 10 / len(piece) {
			buffer.write(piece)
		}
	}
}
