package callerconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fulmartide/fulmartide/test/heldlistener"
)

const testRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func listenTCP(t *testing.T) *net.TCPListener {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

func dialTCP(t *testing.T, l net.Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn) {
	t.Helper()
	if _, err := io.WriteString(c, testRequest); err != nil {
		t.Fatal(err)
	}
}

func checkAnswer(t *testing.T, c net.Conn, what string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("%s got no answer: %v", what, err)
		return
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Errorf("%s got a truncated answer: %v", what, err)
	}
}

// checkClosed checks that a connection has been closed already.
func checkClosed(t *testing.T, c net.Conn) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
	if _, err := c.Read(make([]byte, 1)); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("the connection is still open: %v", err)
	}
}

// TestDrainAnswersRequestsThatHaveArrived guards against connections that are ended while a whole request waits in the
// kernel, on connections that are reused and new.
func TestDrainAnswersRequestsThatHaveArrived(t *testing.T) {
	const rounds, conns = 20, 16
	for range rounds {
		l := listenTCP(t)
		s := serve(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, l)
		var reused, fresh []net.Conn
		for range conns {
			c := dialTCP(t, l)
			send(t, c)
			checkAnswer(t, c, "the first request")
			reused = append(reused, c)
			fresh = append(fresh, dialTCP(t, l))
		}
		for i := range conns {
			send(t, reused[i])
			send(t, fresh[i])
		}
		if err := s.Drain(t.Context(), &calls{}); err != nil {
			t.Error(err)
		}
		for i := range conns {
			checkAnswer(t, reused[i], "a request on a reused connection")
			checkAnswer(t, fresh[i], "a request on a new connection")
		}
	}
}

// TestDrainAcceptsEstablishedConnections guards against requests that are reset in the accept queue of a listener.
func TestDrainAcceptsEstablishedConnections(t *testing.T) {
	l, err := heldlistener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	s := New(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, testOptions(nil))
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	var callers []net.Conn
	for range 8 {
		c := dialTCP(t, l)
		send(t, c)
		callers = append(callers, c)
	}
	for s.activeListener() == nil {
		runtime.Gosched()
	}
	drained := make(chan error, 1)
	go func() { drained <- s.Drain(t.Context(), &calls{}) }()
	<-l.Stopped()
	l.Release()
	for _, c := range callers {
		checkAnswer(t, c, "a request in the accept queue")
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-served; err != nil {
		t.Errorf("Serve returned %v", err)
	}
}

// TestIdleConnectionsAreClosed checks that the idle timeout ends a connection that waits for a request, and none whose request
// is being served.
func TestIdleConnectionsAreClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 15 * time.Second
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWith(&http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/long" {
				time.Sleep(2 * timeout)
			}
		})}, l, Options{IdleTimeout: func() time.Duration { return timeout }})
		idle, active := connect(t, l), connect(t, l)
		for _, c := range []net.Conn{idle, active} {
			send(t, c)
			checkAnswer(t, c, "the first request")
		}
		time.Sleep(timeout - time.Millisecond)
		if _, err := io.WriteString(active, "GET /long HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Millisecond)
		checkClosed(t, idle)
		checkAnswer(t, active, "a request longer than the idle timeout")
		_ = s.Close()
	})
}

// TestLongerIdleTimeoutKeepsIdleConnections guards against connections that are ended by an idle timeout which a configuration
// has made longer since.
func TestLongerIdleTimeoutKeepsIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const short, long = 10 * time.Second, 30 * time.Second
		var timeout atomic.Int64
		timeout.Store(int64(short))
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWith(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, l,
			Options{IdleTimeout: func() time.Duration { return time.Duration(timeout.Load()) }})
		c := connect(t, l)
		send(t, c)
		checkAnswer(t, c, "the first request")
		synctest.Wait()
		timeout.Store(int64(long))
		time.Sleep(2 * short)
		send(t, c)
		checkAnswer(t, c, "a request within the longer timeout")
		time.Sleep(long + time.Millisecond)
		checkClosed(t, c)
		_ = s.Close()
	})
}

// TestShorterIdleTimeoutKeepsConnectionsThatWereIdleBefore guards against connections that are ended because a configuration has
// made the idle timeout shorter since they became idle.
func TestShorterIdleTimeoutKeepsConnectionsThatWereIdleBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const short, long = 2 * time.Second, 15 * time.Second
		var timeout atomic.Int64
		timeout.Store(int64(long))
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWith(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}, l,
			Options{IdleTimeout: func() time.Duration { return time.Duration(timeout.Load()) }})
		c := connect(t, l)
		send(t, c)
		checkAnswer(t, c, "the first request")
		synctest.Wait()
		timeout.Store(int64(short))
		time.Sleep(long - time.Millisecond)
		send(t, c)
		checkAnswer(t, c, "a request within the timeout at which the connection became idle")
		time.Sleep(short + time.Millisecond)
		checkClosed(t, c)
		_ = s.Close()
	})
}

// connect returns the caller's side of a connection to the server.
func connect(t *testing.T, l *pipeListener) net.Conn {
	caller, accepted := net.Pipe()
	t.Cleanup(func() { _ = caller.Close() })
	l.conns <- accepted
	return caller
}
