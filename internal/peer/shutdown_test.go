package peer

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/test/heldlistener"
)

// startHeld serves with a transport whose process accepts no connections yet.
func startHeld(t *testing.T, tr *Transport) *heldlistener.Listener {
	t.Helper()
	l, err := heldlistener.Listen()
	if err != nil {
		t.Fatal(err)
	}
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = tr.Serve(l)
	}()
	t.Cleanup(func() {
		l.Release()
		tr.Close()
		<-served
	})
	return l
}

// startStop begins to stop a transport, and returns when it has begun.
func startStop(t *testing.T, tr *Transport, l *heldlistener.Listener) {
	t.Helper()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		tr.Shutdown(context.WithoutCancel(t.Context()))
	}()
	t.Cleanup(func() { <-stopped })
	<-l.Stopped()
}

// acceptedConns returns the number of connections that a transport has accepted.
func acceptedConns(tr *Transport) int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.accepted)
}

// TestStopServesStreamsThatWereAccepted guards against streams that end without an answer, so that the other VM cannot
// know whether its request was sent, because they were opened right before the stop.
func TestStopServesStreamsThatWereAccepted(t *testing.T) {
	for name, byProcess := range map[string]bool{"by the kernel": false, "by the process, its first frame is on its way": true} {
		t.Run(name, func(t *testing.T) {
			tr := New(Options{Self: ident.VM{Name: "server", Incarnation: 1}})
			tr.HandleStream(KindForward, func(_ context.Context, _ ident.VM, nc net.Conn) { _, _ = io.WriteString(nc, "refused") })
			l := startHeld(t, tr)
			first, err := encodeFrame(&frame{Type: frameStream, Kind: KindForward, From: &ident.VM{Name: "client", Incarnation: 1}})
			if err != nil {
				t.Fatal(err)
			}
			nc, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			if byProcess {
				l.Release()
				for acceptedConns(tr) == 0 {
					continue
				}
			}
			startStop(t, tr, l)
			_, writeErr := nc.Write(first)
			if !byProcess {
				l.Release()
			}
			if got, err := io.ReadAll(nc); err != nil || writeErr != nil || string(got) != "refused" {
				t.Errorf("got %q, errors %v, %v", got, writeErr, err)
			}
		})
	}
}

// TestStopAnswersCallsInProgress guards against calls between VMs whose outcome is not known because the VM that handles
// them is stopped, and against calls that begin meanwhile and are not refused.
func TestStopAnswersCallsInProgress(t *testing.T) {
	entered, release := make(chan struct{}), make(chan struct{})
	server := New(Options{Self: ident.VM{Name: "server", Incarnation: 1}})
	server.Handle(KindOperator, func(_ context.Context, _ ident.VM, body []byte) ([]byte, error) {
		close(entered)
		<-release
		return body, nil
	})
	l := startHeld(t, server)
	l.Release()
	client := New(Options{Self: ident.VM{Name: "client", Incarnation: 1}})
	t.Cleanup(client.Close)
	call := func() error {
		_, err := client.Call(t.Context(), l.AddrPort(), KindOperator, []byte{nilByte})
		return err
	}
	answered := make(chan error, 1)
	go func() { answered <- call() }()
	<-entered
	startStop(t, server, l)
	if err := call(); !fault.Is(err, fault.Unavailable) || fault.DetailOf(err).Execution != fault.NotExecuted {
		t.Errorf("a call to a VM that is being stopped: error %v, execution %s", err, fault.DetailOf(err).Execution)
	}
	close(release)
	if err := <-answered; err != nil {
		t.Errorf("the call in progress got no reply: %v", err)
	}
}
