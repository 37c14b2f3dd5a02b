package daemon

import (
	"bufio"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/settings"
)

// unreachable is an address of this machine on which nothing listens.
const unreachable = "127.0.0.1:1"

// newTestDaemon returns a daemon that is not running yet and has no platform, so that it answers each call with an error.
func newTestDaemon(t *testing.T, useTLS bool) *daemon {
	t.Helper()
	s := settings.Defaults()
	s.VM = settings.VM{Name: "vm", DataCentre: "a", Region: "r"}
	s.Listen = settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	s.Platform.Address = unreachable
	s.Stop.NoticeSeconds = 0
	if useTLS {
		s.TLS.CallersCert, s.TLS.CallersKey = writeCertificate(t)
	}
	d, err := newDaemon(s, Reload{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func writeCertificate(t *testing.T) (certFile, keyFile string) {
	t.Helper()
	server := httptest.NewTLSServer(nil)
	server.Close()
	cert := server.TLS.Certificates[0]
	key, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
	if err != nil {
		t.Fatal(err)
	}
	certFile, keyFile = filepath.Join(t.TempDir(), "cert.pem"), filepath.Join(t.TempDir(), "key.pem")
	for path, block := range map[string]*pem.Block{certFile: {Type: "CERTIFICATE", Bytes: cert.Certificate[0]}, keyFile: {Type: "PRIVATE KEY", Bytes: key}} {
		if err := os.WriteFile(path, pem.EncodeToMemory(block), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	return certFile, keyFile
}

// signallingConn closes sent once it has written its first bytes.
type signallingConn struct {
	net.Conn
	sent chan struct{}
	once sync.Once
}

// Write implements net.Conn.
func (c *signallingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.once.Do(func() { close(c.sent) })
	return n, err
}

// caller is a client with one connection.
type caller struct {
	net.Conn
	in   *bufio.Reader
	sent <-chan struct{}
}

func connect(t *testing.T, addr net.Addr, useTLS bool) *caller {
	t.Helper()
	nc, err := net.Dial("tcp", addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	signalling := &signallingConn{Conn: nc, sent: make(chan struct{})}
	c := &caller{Conn: signalling, sent: signalling.sent}
	if useTLS {
		c.Conn = tls.Client(signalling, &tls.Config{InsecureSkipVerify: true})
	}
	c.in = bufio.NewReader(c.Conn)
	return c
}

// call sends a request and reads the response.
func (c *caller) call() (*http.Response, error) {
	if _, err := fmt.Fprint(c, "GET /v1/models HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp, err
}

const testCallers = 16

var encryptions = map[string]bool{"plain": false, "TLS": true}

// TestStopAnswersRequestsOfConnectionsNotYetAccepted guards against a stop that resets connections in the listener's queue.
func TestStopAnswersRequestsOfConnectionsNotYetAccepted(t *testing.T) {
	for name, useTLS := range encryptions {
		t.Run(name, func(t *testing.T) {
			d := newTestDaemon(t, useTLS)
			var callers sync.WaitGroup
			for range testCallers {
				c := connect(t, d.listeners.callers.Addr(), useTLS)
				callers.Go(func() {
					if _, err := c.call(); err != nil {
						t.Errorf("a request got no answer: %v", err)
					}
				})
				<-c.sent
			}
			stopped, stop := context.WithCancel(t.Context())
			stop()
			if err := d.run(stopped); err != nil {
				t.Error(err)
			}
			callers.Wait()
		})
	}
}

// slowListener accepts connections whose reads return late, as in a process that gets little processor time.
type slowListener struct {
	*net.TCPListener
	slow     atomic.Bool
	read     chan struct{} // receives a value when data has been read
	released chan struct{} // closed when reads may return
	closed   chan struct{}
	once     sync.Once
}

// Accept implements net.Listener.
func (l *slowListener) Accept() (net.Conn, error) {
	nc, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	return &slowConn{TCPConn: nc, listener: l}, nil
}

// Close implements net.Listener.
func (l *slowListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.TCPListener.Close()
}

type slowConn struct {
	*net.TCPConn
	listener *slowListener
}

// Read implements net.Conn.
func (c *slowConn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n > 0 && c.listener.slow.Load() {
		c.listener.read <- struct{}{}
		<-c.listener.released
	}
	return n, err
}

// TestStopAnswersRequestsReadFromReusedConnections guards against a stop that closes connections as idle although their next
// request has been read.
func TestStopAnswersRequestsReadFromReusedConnections(t *testing.T) {
	for name, useTLS := range encryptions {
		t.Run(name, func(t *testing.T) {
			d := newTestDaemon(t, useTLS)
			l := &slowListener{
				TCPListener: d.listeners.callers.(*net.TCPListener), read: make(chan struct{}, 4*testCallers),
				released: make(chan struct{}), closed: make(chan struct{}),
			}
			d.listeners.callers = l
			ctx, stop := context.WithCancel(t.Context())
			defer stop()
			ended := make(chan error, 1)
			go func() { ended <- d.run(ctx) }()
			callers := make([]*caller, testCallers)
			for i := range callers {
				callers[i] = connect(t, l.Addr(), useTLS)
				if _, err := callers[i].call(); err != nil {
					t.Fatal(err)
				}
			}
			l.slow.Store(true)
			var calls sync.WaitGroup
			for _, c := range callers {
				calls.Go(func() {
					if _, err := c.call(); err != nil {
						t.Errorf("a request got no answer: %v", err)
					}
				})
				<-l.read
			}
			stop()
			<-l.closed
			close(l.released)
			calls.Wait()
			if err := <-ended; err != nil {
				t.Error(err)
			}
		})
	}
}

// TestCallersAreServedUntilTheyCanNoticeTheStop guards against a stop that ends idle connections and refuses new ones before load
// balancers and callers can know of it.
func TestCallersAreServedUntilTheyCanNoticeTheStop(t *testing.T) {
	d := newTestDaemon(t, false)
	d.settings.Stop.NoticeSeconds = settings.Defaults().Stop.NoticeSeconds
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- d.run(ctx) }()
	idle := connect(t, d.listeners.callers.Addr(), false)
	if _, err := idle.call(); err != nil {
		t.Fatal(err)
	}
	stop()
	awaitStopping(t, d.listeners.operator.Addr())
	for name, c := range map[string]*caller{"idle": idle, "new": connect(t, d.listeners.callers.Addr(), false)} {
		resp, err := c.call()
		if err != nil {
			t.Errorf("the request of the %s connection got no answer: %v", name, err)
			continue
		}
		if !resp.Close {
			t.Errorf("the response on the %s connection leaves it open", name)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// awaitStopping waits until the readiness check says that the daemon is shutting down.
func awaitStopping(t *testing.T, operator net.Addr) {
	t.Helper()
	for {
		resp, err := http.Get("http://" + operator.String() + "/readyz")
		if err != nil {
			t.Fatalf("the readiness check did not report the stop: %v", err)
		}
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(body), "shutting down") {
			return
		}
	}
}
