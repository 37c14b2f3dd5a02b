package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
)

// pausedConn is a connection of a process that gets no processor time between setting a read deadline and reading.
type pausedConn struct {
	*net.TCPConn
	pause time.Duration
}

func (c *pausedConn) SetReadDeadline(t time.Time) error {
	defer func() {
		if !t.IsZero() {
			time.Sleep(c.pause)
		}
	}()
	return c.TCPConn.SetReadDeadline(t)
}

type pausedListener struct {
	net.Listener
	pause time.Duration
}

func (l *pausedListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &pausedConn{nc.(*net.TCPConn), l.pause}, nil
}

// TestStreamWhoseFirstFrameHasArrivedIsServed guards against streams that are reset, so that the other VM cannot know whether its
// request was sent, because the process was not running until the deadline of the first frame.
func TestStreamWhoseFirstFrameHasArrivedIsServed(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	tr := New(Options{Self: ident.VM{Name: "server", Incarnation: 1}})
	served := make(chan struct{}, 1)
	tr.HandleStream(KindForward, func(context.Context, ident.VM, net.Conn) { served <- struct{}{} })
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tr.Serve(&pausedListener{ln, InactivityTimeout + 100*time.Millisecond})
	}()
	defer func() { tr.Close(); <-ended }()
	first, err := encodeFrame(&frame{Type: frameStream, Kind: KindForward, From: &ident.VM{Name: "client", Incarnation: 1}})
	if err != nil {
		t.Fatal(err)
	}
	nc, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	if _, err := nc.Write(first); err != nil {
		t.Fatal(err)
	}
	if n, err := nc.Read(make([]byte, 1)); n == 0 && len(served) == 0 {
		t.Errorf("a stream whose first frame arrived at once was not served: %v", err)
	}
}

// TestKeepAliveLooksAtWhatHasArrived guards against connections that are closed as idle or unresponsive after a pause of the
// process although a frame has arrived.
func TestKeepAliveLooksAtWhatHasArrived(t *testing.T) {
	for name, prepare := range map[string]func(*conn){
		"idle":         func(c *conn) { c.lastUsed = time.Now().Add(-2 * IdleTimeout) },
		"unresponsive": func(c *conn) { c.awaitingSince = time.Now().Add(-2 * InactivityTimeout) },
	} {
		t.Run(name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = ln.Close() }()
			nc, err := net.Dial("tcp", ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = nc.Close() }()
			other, err := ln.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = other.Close() }()
			raw, err := encodeFrame(&frame{Type: frameCall, Kind: 1, ID: 1})
			if err != nil {
				t.Fatal(err)
			}
			if _, err := other.Write(raw); err != nil {
				t.Fatal(err)
			}
			time.Sleep(10 * time.Millisecond)
			tr := New(Options{})
			defer tr.Close()
			c := newConn(tr, nc)
			c.dialed = true
			prepare(c)
			if err := c.keepAlive(); err != nil {
				t.Errorf("the connection is closed although a frame has arrived: %v", err)
			}
		})
	}
}
