package clients_test

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"testing"
	"time"
)

// Frame types and flags of HTTP/2 (RFC 9113).
const (
	frameData         = 0x0
	frameHeaders      = 0x1
	frameSettings     = 0x4
	frameContinuation = 0x9
	endHeaders        = 0x4
	preface           = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
	// frameSize is the largest frame that a server must accept.
	frameSize = 16 << 10
	// streams is how many streams a client opens, streamHead the size of the head of each.
	streams    = 100
	streamHead = 100 << 10
)

func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	out := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	out = append(out, flags)
	return append(binary.BigEndian.AppendUint32(out, stream), payload...)
}

// field is a literal header field without indexing (RFC 7541).
func field(name, value string) []byte {
	out := append([]byte{0, byte(len(name))}, name...)
	return append(append(out, byte(len(value))), value...)
}

// fields returns a header block of a POST with size bytes of short fields.
func fields(path string, size int) []byte {
	var out bytes.Buffer
	for _, f := range [][2]string{{":method", "POST"}, {":scheme", "https"}, {":authority", "a"}, {":path", path}} {
		out.Write(field(f[0], f[1]))
	}
	for i := 0; out.Len() < size; i++ {
		out.Write(field(fmt.Sprintf("%x", i), ""))
	}
	return out.Bytes()
}

// head returns the frames of a header block, the last with END_HEADERS if it is whole.
func head(stream uint32, block []byte, whole bool) []byte {
	var out []byte
	kind := byte(frameHeaders)
	for len(block) > 0 {
		n := min(len(block), frameSize)
		flags := byte(0)
		if n == len(block) && whole {
			flags = endHeaders
		}
		out = append(out, frame(kind, flags, stream, block[:n])...)
		kind, block = frameContinuation, block[n:]
	}
	return out
}

// eachStream returns what a client sends on all its streams.
func eachStream(of func(stream uint32) []byte) []byte {
	out := append([]byte(preface), frame(frameSettings, 0, 0, nil)...)
	for i := range uint32(streams) {
		out = append(out, of(2*i+1)...)
	}
	return out
}

var http2Attacks = []attack{
	{name: "streams_with_large_heads", clients: crowd / 5, bytes: func(d target) []byte {
		block := fields(d.path, streamHead)
		return eachStream(func(s uint32) []byte { return head(s, block, true) })
	}},
	{name: "continuation_without_end", clients: crowd, bytes: func(d target) []byte {
		return append(append([]byte(preface), frame(frameSettings, 0, 0, nil)...), head(1, fields(d.path, endless), false)...)
	}},
	{name: "slow_bodies", clients: crowd, bytes: func(d target) []byte {
		block, data := fields(d.path, 0), make([]byte, frameSize)
		return eachStream(func(s uint32) []byte { return append(head(s, block, true), frame(frameData, 0, s, data)...) })
	}},
}

// TestClientsOverTheLimitsEndCallersListenerWithHTTP2 sends streams and header blocks without end.
func TestClientsOverTheLimitsEndCallersListenerWithHTTP2(t *testing.T) {
	for _, a := range http2Attacks {
		t.Run(a.name, func(t *testing.T) {
			d, _ := startSettingsForm(t, true)
			before, err := ordinaryRequest(d)
			if err != nil {
				t.Fatal(err)
			}
			raw := a.bytes(d)
			stop := sendAll(a.clients, func(ctx context.Context, sent func()) { http2Client(ctx, d, raw, sent) })
			defer stop()
			checkAfter(t, d, before)
		})
	}
}

// http2Client is a client of HTTP/2 that reads what it gets.
func http2Client(ctx context.Context, d target, raw []byte, sent func()) {
	defer sent()
	for range dialsPerClient {
		c, err := d.dial("h2")
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(writeTime))
		go func() { _, _ = io.Copy(io.Discard, c) }()
		_, err = c.Write(raw)
		if err == nil {
			sent()
			<-ctx.Done()
		}
		_ = c.Close()
		if ctx.Err() != nil {
			return
		}
	}
	sent()
	<-ctx.Done()
}
