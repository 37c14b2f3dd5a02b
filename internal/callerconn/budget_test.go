package callerconn

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/connbudget"
)

// serveWithin serves connections within a budget, with answers to requests whose body is whole.
func serveWithin(bytes int64, connections int, l net.Listener) *Server {
	base := &http.Server{ReadHeaderTimeout: testHeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			w.WriteHeader(http.StatusRequestTimeout)
		}
	})}
	budget := connbudget.New(connbudget.Options{Bytes: bytes, Connections: connections, Log: zap.NewNop(), Metrics: metrics.NewSet()})
	s := New(base, Options{
		HeadLimit: func() int64 { return testHeadLimit }, Budget: budget, Name: "callers", MaxIdleTime: time.Minute, Log: zap.NewNop(), Metrics: metrics.NewSet(),
	})
	go func() { _ = s.Serve(l) }()
	return s
}

const (
	testHeadLimit = 16 << 10
	roomy         = 1 << 30
)

func status(t *testing.T, in *bufio.Reader) int {
	t.Helper()
	resp, err := http.ReadResponse(in, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// checkEnded checks that a connection has been ended without an answer.
func checkEnded(t *testing.T, c net.Conn) {
	t.Helper()
	if raw, err := io.ReadAll(c); err != nil || len(raw) > 0 {
		t.Errorf("%q, %v instead of the end of the connection", raw, err)
	}
}

func TestHeadOverTheLimitIsAnswered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWithin(roomy, 10, l)
		defer func() { _ = s.Close() }()
		c := connect(t, l)
		go func() {
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", 2*testHeadLimit))
		}()
		if got := status(t, bufio.NewReader(c)); got != http.StatusRequestHeaderFieldsTooLarge {
			t.Errorf("status %d", got)
		}
		_ = c.Close()
	})
}

func TestTimeOfAHeadCountsFromItsFirstByte(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWithin(roomy, 10, l)
		defer func() { _ = s.Close() }()
		c := connect(t, l)
		send(t, c)
		status(t, bufio.NewReader(c))
		began := time.Now()
		_, _ = io.WriteString(c, testRequest[:3])
		time.Sleep(testHeaderTimeout / 2)
		_, _ = io.WriteString(c, testRequest[3:len("GET / HTTP/1.1\r\n")])
		checkEnded(t, c)
		if took := time.Since(began); took != testHeaderTimeout {
			t.Errorf("the head had %v, want %v", took, testHeaderTimeout)
		}
	})
}

func TestIdleConnectionMakesRoomForANewOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWithin(roomy, 1, l)
		defer func() { _ = s.Close() }()
		idle := connect(t, l)
		send(t, idle)
		status(t, bufio.NewReader(idle))
		other := connect(t, l)
		send(t, other)
		if got := status(t, bufio.NewReader(other)); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
		checkEnded(t, idle)
		_ = other.Close()
	})
}

func TestSlowBodyMakesRoomForANewConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWithin(roomy, 1, l)
		defer func() { _ = s.Close() }()
		slow := connect(t, l)
		_, _ = io.WriteString(slow, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n")
		_, _ = io.WriteString(slow, "a")
		synctest.Wait()
		other := connect(t, l)
		send(t, other)
		if got := status(t, bufio.NewReader(other)); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
		if got := status(t, bufio.NewReader(slow)); got != http.StatusRequestTimeout {
			t.Errorf("status %d of the slow request", got)
		}
		_, _ = slow.Close(), other.Close()
	})
}

func TestHeadWithoutMemoryEndsTheLargest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		const lines = 1000
		s := serveWithin(3*connbudget.ConnectionBytes+connbudget.HeadBytes([]byte(strings.Repeat("a:\n", lines))), 10, l)
		defer func() { _ = s.Close() }()
		large, ordinary := connect(t, l), connect(t, l)
		go func() { _, _ = io.WriteString(large, "GET / HTTP/1.1\r\n"+strings.Repeat("a:\n", 2*lines)) }()
		checkEnded(t, large)
		send(t, ordinary)
		if got := status(t, bufio.NewReader(ordinary)); got != http.StatusOK {
			t.Errorf("status %d", got)
		}
		_ = ordinary.Close()
	})
}
