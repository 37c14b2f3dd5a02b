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

// quiet is how long a test listens for bytes that must not come.
const quiet = 50 * time.Millisecond

// echo serves lines back.
func echo(t *testing.T) netip.AddrPort {
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

// askOnce asks on a connection of its own. A reset that comes early shows at the connect.
func askOnce(p *faultproxy.Proxy, line string) error {
	c, err := connect(p)
	if err != nil {
		return err
	}
	defer c.Close()
	return c.ask(line, 0)
}

// ask sends a line and waits for its echo, for at most limit when that is above 0.
func (c client) ask(line string, limit time.Duration) error {
	deadline := time.Time{}
	if limit > 0 {
		deadline = time.Now().Add(limit)
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

func TestModes(t *testing.T) {
	p, err := faultproxy.Listen(echo(t))
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
	mustBeQuiet := func(err error) {
		t.Helper()
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("bytes or an end came through: %v", err)
		}
	}
	mustBeClosed := func(err error) {
		t.Helper()
		if err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Fatalf("connection is open: %v", err)
		}
	}
	first := dial(t, p)
	must(first.ask("pass", 0))
	for _, hold := range []faultproxy.Mode{faultproxy.Hold, faultproxy.HoldToTarget, faultproxy.HoldToClient} {
		p.Set(hold)
		mustBeQuiet(first.ask("held", quiet))
		p.Set(faultproxy.Pass)
		_ = first.SetReadDeadline(time.Time{})
		must(first.expect("held"))
	}
	p.Forget()
	mustBeQuiet(first.ask("forgotten", quiet))
	second := dial(t, p)
	must(second.ask("new", 0))
	p.Set(faultproxy.Silence)
	mustBeQuiet(second.ask("silent", quiet))
	third := dial(t, p)
	mustBeQuiet(third.ask("silent from the start", quiet))
	p.Set(faultproxy.Refuse)
	mustBeClosed(askOnce(p, "refused"))
	p.Set(faultproxy.Pass)
	mustBeQuiet(third.ask("still silent", quiet))
	fourth := dial(t, p)
	must(fourth.ask("open", 0))
	p.Cut()
	mustBeClosed(fourth.ask("cut", 0))
	p.SetTarget(echo(t))
	p.SetDelay(20 * time.Millisecond)
	fifth, begin := dial(t, p), time.Now()
	must(fifth.ask("late", 0))
	if took := time.Since(begin); took < 40*time.Millisecond {
		t.Fatalf("both ways took %s with 20 ms each", took)
	}
}
