package callerconn

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestDrainKeepsRequestWhoseFirstByteCameDuringAnswer guards against a request that is cut in phaseEndingIdle because its first
// byte was read beside the answer before it, so that its connection counts as awaiting.
func TestDrainKeepsRequestWhoseFirstByteCameDuringAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		release := make(chan struct{})
		var n atomic.Int64
		s := serve(&http.Server{ReadHeaderTimeout: testHeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if n.Add(1) == 1 {
				w.(http.Flusher).Flush() // before the stop: no Connection: close
				<-release
			}
		})}, l)
		c := connect(t, l)
		send(t, c)
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.WriteString(c, testRequest[:1]); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		drained := make(chan error, 1)
		go func() { drained <- s.Drain(t.Context(), &calls{}) }()
		synctest.Wait() // ending idle
		go func() { close(release) }()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatal(err)
		}
		synctest.Wait()
		go func() { _, _ = io.WriteString(c, testRequest[1:]) }()
		if _, err := http.ReadResponse(in, nil); err != nil {
			t.Errorf("the request got no answer: %v", err)
		}
		_ = c.Close()
		<-drained
	})
}

// TestPipelinedBodyIsNotBoundByIdleTimeout guards against an idle timeout that stays in force while the body of a pipelined
// request arrives.
func TestPipelinedBodyIsNotBoundByIdleTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const timeout = 2 * time.Second
		l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		s := serveWith(&http.Server{ReadHeaderTimeout: testHeaderTimeout, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			b, err := io.ReadAll(r.Body)
			fmt.Fprintf(w, "%d %v", len(b), err)
		})}, l, Options{IdleTimeout: func() time.Duration { return timeout }})
		c := connect(t, l)
		in := bufio.NewReader(c)
		post := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n"
		if _, err := io.WriteString(c, post+"ab"+post+"a"); err != nil {
			t.Fatal(err)
		}
		for i := range 2 {
			if i == 1 {
				time.Sleep(timeout + time.Second)
				go func() { _, _ = io.WriteString(c, "b") }()
			}
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("request %d: %v", i, err)
			}
			b, _ := io.ReadAll(resp.Body)
			if string(b) != "2 <nil>" {
				t.Errorf("request %d: %s", i, b)
			}
		}
		_ = c.Close()
		_ = s.Close()
	})
}

// serveTLS serves with TLS and HTTP/2, and returns a client.
func serveTLS(t *testing.T, h http.Handler, idle func() time.Duration) (*Server, *http.Client, string) {
	t.Helper()
	ts := httptest.NewTLSServer(nil)
	cert := ts.TLS.Certificates[0]
	pool := x509.NewCertPool()
	pool.AddCert(ts.Certificate())
	ts.Close()
	l := listenTCP(t)
	s := New(&http.Server{Handler: h, ReadHeaderTimeout: testHeaderTimeout, TLSConfig: &tls.Config{Certificates: []tls.Certificate{cert}}}, testOptions(idle))
	go func() { _ = s.Serve(l) }()
	for s.activeListener() == nil {
		runtime.Gosched()
	}
	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "example.com"}, ForceAttemptHTTP2: true}
	t.Cleanup(tr.CloseIdleConnections)
	return s, &http.Client{Transport: tr}, "https://" + l.Addr().String()
}

// TestDrainAnswersHTTP2CallsThatDoNotEndInTime guards against calls on HTTP/2 that are cut without an answer at the end of the grace time.
func TestDrainAnswersHTTP2CallsThatDoNotEndInTime(t *testing.T) {
	active := calls{ended: make(chan struct{})}
	started := make(chan struct{})
	s, client, url := serveTLS(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Error("not HTTP/2")
		}
		active.n.Add(1)
		defer active.n.Add(-1)
		close(started)
		select {
		case <-active.ended:
			w.WriteHeader(http.StatusBadGateway)
		case <-r.Context().Done():
		}
	}), nil)
	answered := make(chan error, 1)
	go func() {
		resp, err := client.Get(url)
		if err == nil {
			_ = resp.Body.Close()
		}
		answered <- err
	}()
	<-started
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	drainErr := s.Drain(ctx, &active)
	if err := <-answered; err != nil {
		t.Errorf("a call on HTTP/2 got no answer: %v (drain: %v)", err, drainErr)
	}
}

// TestHTTP2CallerThatLeavesIsNotCut guards against callers that leave being counted as cut by this VM.
func TestHTTP2CallerThatLeavesIsNotCut(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	s, client, url := serveTLS(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		time.Sleep(50 * time.Millisecond)
		close(ended)
	}), nil)
	var nc net.Conn
	client.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		nc = c
		return c, err
	}
	go func() { _, _ = client.Get(url) }()
	<-started
	_ = nc.Close()
	<-ended
	time.Sleep(100 * time.Millisecond)
	if n := s.cut.Get(); n != 0 {
		t.Errorf("%d requests counted as cut by this VM, 0 wanted: the caller left", n)
	}
	_ = s.Close()
}

// TestIdleHTTP2ConnectionsAreClosed guards against connections of HTTP/2 that have no idle timeout.
func TestIdleHTTP2ConnectionsAreClosed(t *testing.T) {
	s, client, url := serveTLS(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}), func() time.Duration { return 500 * time.Millisecond })
	resp, err := client.Get(url)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	time.Sleep(2 * time.Second)
	if n := s.count(func(*conn) bool { return true }); n != 0 {
		t.Errorf("%d connections 2 s after an idle timeout of 0.5 s", n)
	}
	_ = s.Close()
}

// TestDrainUnderLoad guards against requests that are run and lose their answer while many callers reuse connections during a drain.
func TestDrainUnderLoad(t *testing.T) {
	for _, mode := range []string{"plain", "tls"} {
		t.Run(mode, func(t *testing.T) {
			for round := range 3 {
				drainUnderLoad(t, mode == "tls", round)
			}
		})
	}
}

// drainUnderLoad drains a server while callers send requests with and without bodies.
func drainUnderLoad(t *testing.T, useTLS bool, round int) {
	var active calls
	var ran sync.Map
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		active.n.Add(1)
		defer active.n.Add(-1)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if active.refusing.Load() {
			w.WriteHeader(503)
			return
		}
		ran.Store(r.Header.Get("Id"), true)
		busy := time.Now()
		for time.Since(busy) < 50*time.Microsecond {
		}
		_, _ = io.WriteString(w, strings.Repeat("x", 100))
	})
	ts := httptest.NewTLSServer(nil)
	cert := ts.TLS.Certificates[0]
	ts.Close()
	base := &http.Server{Handler: h, ReadHeaderTimeout: testHeaderTimeout}
	if useTLS {
		base.TLSConfig = &tls.Config{Certificates: []tls.Certificate{cert}, NextProtos: []string{"http/1.1"}}
		base.TLSNextProto = map[string]func(*http.Server, *tls.Conn, http.Handler){}
	}
	l := listenTCP(t)
	s := serve(base, l)
	var wg sync.WaitGroup
	var sent, unanswered atomic.Int64
	stop := make(chan struct{})
	for i := range 40 {
		wg.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				nc, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					return
				}
				var c net.Conn = nc
				if useTLS {
					c = tls.Client(nc, &tls.Config{InsecureSkipVerify: true})
				}
				in := bufio.NewReader(c)
				for m := 0; ; m++ {
					id := fmt.Sprintf("%d-%d-%d", i, n, m)
					size := []int{0, 10, 5000, 300000}[(i+m)%4]
					expect := ""
					if size > 0 && m%3 == 0 {
						expect = "Expect: 100-continue\r\n"
					}
					head := fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nId: %s\r\n%sContent-Length: %d\r\n\r\n", id, expect, size)
					if m%2 == 0 {
						_, err = io.WriteString(c, head[:7])
						runtime.Gosched()
						if err == nil {
							_, err = io.WriteString(c, head[7:])
						}
					} else {
						_, err = io.WriteString(c, head)
					}
					if err == nil && size > 0 {
						_, err = io.WriteString(c, strings.Repeat("b", size))
					}
					sent.Add(1)
					var resp *http.Response
					for err == nil {
						resp, err = http.ReadResponse(in, nil)
						if err == nil && resp.StatusCode != 100 {
							break
						}
					}
					if err == nil {
						_, err = io.Copy(io.Discard, resp.Body)
					}
					if err != nil {
						unanswered.Add(1)
						if _, ok := ran.Load(id); ok {
							t.Errorf("request %s (size %d) was run and got no answer: %v", id, size, err)
						}
						_ = c.Close()
						break
					}
					if resp.Close {
						_ = c.Close()
						break
					}
					if m%5 == 4 {
						time.Sleep(time.Millisecond)
					}
				}
			}
		})
	}
	time.Sleep(100*time.Millisecond + time.Duration(round)*time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	if err := s.Drain(ctx, &active); err != nil {
		t.Errorf("drain: %v", err)
	}
	close(stop)
	wg.Wait()
	if n := s.cut.Get(); n != 0 {
		t.Errorf("%d requests cut", n)
	}
	t.Logf("sent %d, unanswered %d", sent.Load(), unanswered.Load())
}
