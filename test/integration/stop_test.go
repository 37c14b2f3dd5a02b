package integration

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"testing"

	"github.com/fulmartide/fulmartide/internal/experiment"
	"github.com/fulmartide/fulmartide/test/fleet"
)

// openConnections is the number of connections that callers keep open in a test of a stop.
const openConnections = 16

// rawCaller is a caller with one connection, on which it repeats a short request.
type rawCaller struct {
	net.Conn
	in     *bufio.Reader
	secret string
}

func (f *testFleet) dialCaller(addr netip.AddrPort) *rawCaller {
	f.t.Helper()
	nc, err := net.Dial("tcp", addr.String())
	f.must(err)
	f.t.Cleanup(func() { _ = nc.Close() })
	return &rawCaller{Conn: nc, in: bufio.NewReader(nc), secret: fleet.Secret(f.layout.Workspaces[0].Name)}
}

// send writes a whole request.
func (c *rawCaller) send() error {
	_, err := fmt.Fprintf(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n\r\n", c.secret)
	return err
}

// receive reads a whole response.
func (c *rawCaller) receive() (*http.Response, error) {
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

// call sends a request and reads the response.
func (c *rawCaller) call() (*http.Response, error) {
	if err := c.send(); err != nil {
		return nil, err
	}
	return c.receive()
}

// TestPlannedStopAnswersCallersThatKeepUsingTheirConnections guards against refusals that leave the connection open, so that the stop
// closes it while the next request is on its way.
func TestPlannedStopAnswersCallersThatKeepUsingTheirConnections(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	stream := make(chan []experiment.Outcome)
	go func() { stream <- runConcurrently(1, func(i int) experiment.Outcome { return f.chat(vm1, i, 100) }) }()
	f.awaitDecoding()
	var callers, started sync.WaitGroup
	for range openConnections {
		c := f.dialCaller(f.Daemon(vm1).Callers)
		started.Add(1)
		callers.Go(func() {
			for n := 1; ; n++ {
				resp, err := c.call()
				if n == 1 {
					started.Done()
				}
				if err != nil {
					t.Errorf("request %d of a connection got no answer: %v", n, err)
					return
				}
				if resp.Close {
					return
				}
			}
		})
	}
	started.Wait()
	f.must(f.Terminate(vm1))
	callers.Wait()
	if outs := <-stream; countComplete(outs) != len(outs) {
		t.Errorf("the stream in progress is incomplete: %+v", outs)
	}
}

// TestPlannedStopAnswersRequestsThatArrivedBeforeIt guards against a stop that discards requests that the kernel has received and the
// daemon has not read, on new and on reused connections.
func TestPlannedStopAnswersRequestsThatArrivedBeforeIt(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	addr := f.Daemon(vm1).Callers
	var callers []*rawCaller
	for range openConnections {
		c := f.dialCaller(addr)
		_, err := c.call()
		f.must(err)
		callers = append(callers, c)
	}
	f.must(f.Pause(vm1))
	f.await("the daemon to be paused", f.Daemon(vm1).Stopped)
	for range openConnections {
		callers = append(callers, f.dialCaller(addr))
	}
	for _, c := range callers {
		f.must(c.send())
	}
	terminated := make(chan error, 1)
	go func() { terminated <- f.Terminate(vm1) }()
	f.await("the signal to be pending", func() bool { return f.Daemon(vm1).SignalPending(syscall.SIGTERM) })
	f.must(f.Resume(vm1))
	for i, c := range callers {
		if _, err := c.receive(); err != nil {
			t.Errorf("the request of connection %d got no answer: %v", i, err)
		}
	}
	f.must(<-terminated)
}

// TestSecondTerminationDoesNotCutTheDrain guards against a second SIGTERM that ends the process before its requests.
func TestSecondTerminationDoesNotCutTheDrain(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), nil)
	stream := make(chan []experiment.Outcome)
	go func() { stream <- runConcurrently(4, func(i int) experiment.Outcome { return f.chat(vm1, i, 100) }) }()
	f.awaitDecodes(4)
	terminated := make(chan error, 1)
	go func() { terminated <- f.Terminate(vm1) }()
	f.await("the stop to begin", func() bool { return !f.Daemon(vm1).Ready(context.Background()) })
	for _, sig := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGINT} {
		f.must(f.Signal(vm1, sig))
	}
	if outs := <-stream; countComplete(outs) != len(outs) {
		t.Errorf("%d of %d responses complete: %+v", countComplete(outs), len(outs), outs)
	}
	f.must(<-terminated)
}

// TestEndOfDrainAnswersCallsInProgress guards against calls without a response that a stop closes at the end of the drain.
func TestEndOfDrainAnswersCallsInProgress(t *testing.T) {
	f := startFleet(t, fleet.Partilha(), func(o *fleet.Options) { o.DrainSeconds = 1 })
	c := f.dialCaller(f.Daemon(vm1).Callers)
	body := fmt.Sprintf(`{"model":%q,"prompt":"{tag:%s}{stop:400}","max_tokens":404}`, f.layout.ModelName, t.Name())
	_, err := fmt.Fprintf(c, "POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", c.secret, len(body), body)
	f.must(err)
	f.awaitDecoding()
	terminated := make(chan error, 1)
	go func() { terminated <- f.Terminate(vm1) }()
	resp, err := c.receive()
	if err != nil || resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "" {
		t.Errorf("got %+v, %v, want an answer that does not invite to repeat a call that may have run", resp, err)
	}
	if err := <-terminated; err == nil {
		t.Error("the daemon did not report the interrupted call")
	}
}
