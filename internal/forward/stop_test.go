package forward

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/bodybuffer"
	"github.com/fulmartide/fulmartide/internal/connpool"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// sentConn calls sent when the request has been written, which is when the outcome is first read.
type sentConn struct {
	net.Conn
	sent func()
}

func (c *sentConn) Read(p []byte) (int, error) {
	c.sent()
	return c.Conn.Read(p)
}

// watchedOpener opens streams that report that their request has been written.
type watchedOpener struct {
	Opener
	sent func()
}

func (o watchedOpener) OpenStream(ctx context.Context, addr netip.AddrPort, kind peer.Kind) (net.Conn, error) {
	nc, err := o.Opener.OpenStream(ctx, addr, kind)
	return &sentConn{nc, o.sent}, err
}

// closeTransport begins to close the transport of the second VM, and returns when it has begun.
func (p *pair) closeTransport(t *testing.T) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		p.receiver.Shutdown(context.WithoutCancel(t.Context()))
	}()
	t.Cleanup(func() { <-closed })
	<-p.listener.Stopped()
}

// TestRequestAtTheEndOfAStopIsKnownNotToBeSent guards against requests that count as possibly sent because the VM that was
// to send them ended before it had refused them.
func TestRequestAtTheEndOfAStopIsKnownNotToBeSent(t *testing.T) {
	p := newHeldPair(t, http.NotFoundHandler())
	p.start = func(traffic.EndpointID) error {
		t.Error("a request was about to be sent after the stop")
		return errEnded
	}
	p.server.Shutdown(t.Context())
	p.client.Opener = watchedOpener{p.client.Opener, sync.OnceFunc(func() {
		p.closeTransport(t)
		p.listener.Release()
	})}
	_, err := p.client.Do(t.Context(), p.via, testID, testRequest(nil))
	if err == nil || connpool.MayHaveSent(err) {
		t.Errorf("error %v, may have been sent: %v", err, connpool.MayHaveSent(err))
	}
}

// TestRefusedRequestIsReadToItsEnd guards against refusals that are lost because the stream is closed, and so reset by the
// kernel, while a part of the request has not been read.
func TestRefusedRequestIsReadToItsEnd(t *testing.T) {
	for name, setUp := range map[string]func(*Server){
		"the VM is being stopped":    func(s *Server) { s.Shutdown(context.Background()) },
		"the VM sends too many":      func(s *Server) { s.slots = make(chan struct{}) },
		"no memory for request body": func(s *Server) { s.opts.Bodies = bodybuffer.NewBudget(1, metrics.NewSet()) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{slots: make(chan struct{}, 1), opts: ServerOptions{
					Bodies: bodybuffer.NewBudget(1<<20, metrics.NewSet()), Log: zap.NewNop(), Metrics: metrics.NewSet(),
				}}
				setUp(s)
				near, far := net.Pipe()
				served := make(chan struct{})
				go func() {
					defer close(served)
					s.serve(t.Context(), ident.VM{}, far)
					_ = far.Close()
				}()
				var whole bytes.Buffer
				_, _ = exchange(&whole, strings.NewReader(""), &traffic.Via{}, testID, testRequest(make([]byte, 100<<10)))
				written := make(chan error, 1)
				go func() {
					_, err := near.Write(whole.Bytes())
					written <- err
				}()
				var out outcome
				if err := readMessage(near, &out); err != nil || out.Error == "" || out.Sent {
					t.Errorf("outcome %+v, error %v", out, err)
				}
				synctest.Wait()
				if err := <-written; err != nil {
					t.Errorf("the stream was closed before the request had been read: %v", err)
				}
				began := time.Now()
				_ = near.Close()
				<-served
				if time.Since(began) > 0 {
					t.Error("the VM went on reading after the other one had closed the stream")
				}
			})
		})
	}
}

// TestVMThatOffersNoRoomTakesRequests guards against requests that are refused, of VMs that do not know yet that this one
// leaves.
func TestVMThatOffersNoRoomTakesRequests(t *testing.T) {
	p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") }))
	p.server.Withdraw()
	if room := p.server.Room(); room > 0 {
		t.Errorf("room for %d requests", room)
	}
	resp, err := p.client.Do(t.Context(), p.via, testID, testRequest(nil))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != "answer" {
		t.Errorf("got %q, error %v", got, err)
	}
}

// TestStoppedVMSendsWhatItHasTaken guards against a stop that offers room for further requests of other VMs, or ends those
// that it has taken.
func TestStoppedVMSendsWhatItHasTaken(t *testing.T) {
	goOn := make(chan struct{})
	p := newPair(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		<-goOn
		_, _ = io.WriteString(w, "answer")
	}))
	started := make(chan struct{})
	p.start = func(traffic.EndpointID) error {
		close(started)
		return nil
	}
	answered := make(chan error, 1)
	go func() {
		resp, err := p.client.Do(t.Context(), p.via, testID, testRequest(nil))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			_ = resp.Body.Close()
		}
		answered <- err
	}()
	<-started
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		p.server.Shutdown(t.Context())
		p.receiver.Shutdown(t.Context())
	}()
	for p.server.Room() > 0 {
		continue
	}
	close(goOn)
	if err := <-answered; err != nil {
		t.Errorf("a request that was taken before the stop: %v", err)
	}
	<-stopped
}
