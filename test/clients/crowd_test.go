package clients_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// crowd is the number of clients that send at a time, and idleCrowd the number of connections without requests.
	crowd     = 100
	idleCrowd = 2 * descriptors
	// dialsPerClient is how often a client opens a connection again that was closed.
	dialsPerClient = 3
	// endless is what a client sends on a connection that isn't closed before.
	endless = 1 << 20
	// writeTime ends a write to a process that reads no more.
	writeTime = time.Second
	// answerTime ends an attempt of the ordinary request, and answerAttempts attempts are made.
	answerTime     = 5 * time.Second
	answerAttempts = 6
)

// attack is one way of sending too much.
type attack struct {
	name string
	// bytes returns what a client sends. It leaves its connection open.
	bytes func(d target) []byte
	// clients is the number of clients.
	clients int
	// callersOnly is set if only handlers that read bodies are concerned.
	callersOnly bool
}

var attacks = []attack{
	{name: "distinct_short_lines", clients: crowd, bytes: func(d target) []byte {
		return unfinished(d.path, d.head, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })
	}},
	{name: "one_repeated_name", clients: crowd, bytes: func(d target) []byte {
		return unfinished(d.path, d.head, func(int) string { return "a:\r\n" })
	}},
	{name: "line_without_end", clients: crowd, bytes: func(d target) []byte {
		return []byte("GET " + d.path + " HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("a", endless))
	}},
	{name: "target_without_end", clients: crowd, bytes: func(target) []byte { return []byte("GET /" + strings.Repeat("a", endless)) }},
	{name: "empty_lines", clients: crowd, bytes: func(target) []byte { return bytes.Repeat([]byte("\r\n"), endless/2) }},
	{name: "trailers", clients: crowd, bytes: func(d target) []byte {
		return append(chunked(d.path, "0\r\n"), unfinished("", d.head, func(i int) string { return fmt.Sprintf("%x:\r\n", i) })...)
	}},
	{name: "chunk_extension", clients: crowd, bytes: func(d target) []byte { return chunked(d.path, "1;"+strings.Repeat("a", endless)) }},
	{name: "slow_bodies", clients: crowd, callersOnly: true, bytes: func(d target) []byte {
		return []byte(fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%s", d.path, endless, strings.Repeat("a", endless-1)))
	}},
	{name: "idle_connections", clients: idleCrowd, bytes: func(target) []byte { return nil }},
}

// unfinished returns the beginning of a head of size bytes that is made of the lines.
func unfinished(path string, size int, line func(i int) string) []byte {
	var out bytes.Buffer
	if path != "" {
		out.WriteString("GET " + path + " HTTP/1.1\r\nHost: a\r\n")
	}
	for i := 0; out.Len() < size; i++ {
		out.WriteString(line(i))
	}
	return out.Bytes()
}

func chunked(path, body string) []byte {
	return []byte("POST " + path + " HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + body)
}

// withstands runs each attack against a listener of a process of its own. It checks that the process lives and stays within its memory and
// descriptors, and that a listener then answers an ordinary request as before.
func withstands(t *testing.T, readsBodies bool, start func(*testing.T) target) {
	for _, a := range attacks {
		if a.callersOnly && !readsBodies {
			continue
		}
		t.Run(a.name, func(t *testing.T) {
			d := start(t)
			before, err := ordinaryRequest(d)
			if err != nil {
				t.Fatal(err)
			}
			raw := a.bytes(d)
			stop := sendAll(a.clients, func(ctx context.Context, sent func()) { client(ctx, d, raw, sent) })
			defer stop()
			checkAfter(t, d, before)
		})
	}
}

// checkAfter checks the process while the clients keep their connections.
func checkAfter(t *testing.T, d target, before int) {
	t.Helper()
	d.process.awaitRest(t)
	d.process.checkBounds(t)
	var after int
	var err error
	for range answerAttempts {
		if after, err = ordinaryRequest(d); err == nil {
			break
		}
	}
	if err != nil {
		t.Errorf("no answer to an ordinary request: %v", err)
	} else if after != before {
		t.Errorf("an ordinary request got %d, want %d as before", after, before)
	}
	d.process.checkBounds(t)
}

// sendAll runs clients and returns once each has sent all or given up. The returned function ends them.
func sendAll(clients int, run func(ctx context.Context, sent func())) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var running, sending sync.WaitGroup
	for range clients {
		sending.Add(1)
		running.Go(func() { run(ctx, sync.OnceFunc(sending.Done)) })
	}
	sending.Wait()
	return func() {
		cancel()
		running.Wait()
	}
}

// client sends raw, opens its connection again if it is closed, and calls sent once it has sent all or opened it often enough. It then
// keeps the connection until ctx ends.
func client(ctx context.Context, d target, raw []byte, sent func()) {
	defer sent()
	for range dialsPerClient {
		c, err := d.dial("http/1.1")
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(writeTime))
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

// ordinaryRequest sends a request on a connection of its own and returns the status of its answer.
func ordinaryRequest(d target) (int, error) {
	c, err := d.dial("http/1.1")
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(answerTime))
	return request(c, d.path)
}

func request(c net.Conn, path string) (int, error) {
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"); err != nil {
		return 0, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err
	}
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}
