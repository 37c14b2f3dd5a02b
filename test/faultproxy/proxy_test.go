package faultproxy_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/fulmartide/fulmartide/test/faultproxy"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// silenceWindow is how long a test waits for bytes that must not arrive.
const silenceWindow = 50 * time.Millisecond

// startEchoServer starts a server that echoes all bytes.
func startEchoServer(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

type client struct {
	net.Conn
	r *bufio.Reader
}

func connect(p *faultproxy.Proxy) (client, error) {
	c, err := net.Dial("tcp", p.Addr().String())
	return client{c, bufio.NewReader(c)}, err
}

func dial(t *testing.T, p *faultproxy.Proxy) client {
	t.Helper()
	c, err := connect(p)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// echoOnNewConnection calls echo on a new connection. If the proxy resets the connection early enough,
// connecting itself fails.
func echoOnNewConnection(p *faultproxy.Proxy, line string) error {
	c, err := connect(p)
	if err != nil {
		return err
	}
	defer c.Close()
	return c.echo(line, 0)
}

// echo sends a line and waits for its echo. A timeout above 0 bounds the wait.
func (c client) echo(line string, timeout time.Duration) error {
	deadline := time.Time{}
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}
	_ = c.SetReadDeadline(deadline)
	if _, err := fmt.Fprintln(c, line); err != nil {
		return err
	}
	return c.expect(line)
}

func (c client) expect(line string) error {
	got, err := c.r.ReadString('\n')
	if err == nil && got != line+"\n" {
		err = fmt.Errorf("got %q, want %q", got, line)
	}
	return err
}

func TestSimulatedFaults(t *testing.T) {
	p, err := faultproxy.Listen(startEchoServer(t))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	mustTimeOut := func(err error) {
		t.Helper()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got error %v, want a timeout", err)
		}
	}
	mustBeClosed := func(err error) {
		t.Helper()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("got error %v, want a closed connection", err)
		}
	}
	first := dial(t, p)
	must(first.echo("pass", 0))
	for _, mode := range []faultproxy.Mode{faultproxy.Stall, faultproxy.StallToTarget, faultproxy.StallToClient} {
		p.SetMode(mode)
		mustTimeOut(first.echo("stalled", silenceWindow))
		p.SetMode(faultproxy.Pass)
		_ = first.SetReadDeadline(time.Time{})
		must(first.expect("stalled"))
	}
	p.BlackholeConnections()
	mustTimeOut(first.echo("existing connection", silenceWindow))
	second := dial(t, p)
	must(second.echo("new connection", 0))
	p.SetMode(faultproxy.Blackhole)
	mustTimeOut(second.echo("blackholed", silenceWindow))
	third := dial(t, p)
	mustTimeOut(third.echo("blackholed from the start", silenceWindow))
	p.SetMode(faultproxy.Refuse)
	mustBeClosed(echoOnNewConnection(p, "refused"))
	p.SetMode(faultproxy.Pass)
	mustTimeOut(third.echo("still blackholed", silenceWindow))
	fourth := dial(t, p)
	must(fourth.echo("open", 0))
	p.CloseConnections()
	mustBeClosed(fourth.echo("closed", 0))
	p.SetTarget(startEchoServer(t))
	p.SetDelay(20 * time.Millisecond)
	fifth, begin := dial(t, p), time.Now()
	must(fifth.echo("delayed", 0))
	if elapsed := time.Since(begin); elapsed < 40*time.Millisecond {
		t.Fatalf("round trip took %s with a delay of 20 ms in each direction", elapsed)
	}
}
