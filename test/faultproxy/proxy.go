// Package faultproxy forwards TCP connections to a target and simulates network faults: refused,
// closed, blackholed, stalled and delayed connections.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode selects how a Proxy treats connections.
type Mode int

// The modes.
const (
	// Pass forwards all bytes.
	Pass Mode = iota
	// Refuse resets new connections immediately.
	Refuse
	// Blackhole discards the bytes of all connections, existing and new, without closing them. A
	// blackholed connection never recovers.
	Blackhole
	// Stall delays bytes in both directions until another mode is set, like a network partition.
	Stall
	// StallToTarget delays only the bytes towards the target.
	StallToTarget
	// StallToClient delays only the bytes towards the client.
	StallToClient
)

const (
	chunkBytes        = 32 << 10
	maxBufferedChunks = 32
	dialTimeout       = 2 * time.Second
)

// Proxy forwards the connections of one listener to one target.
type Proxy struct {
	addr netip.AddrPort
	ctx  context.Context
	stop context.CancelFunc
	done sync.WaitGroup

	mu          sync.Mutex
	listener    net.Listener
	target      netip.AddrPort
	mode        Mode
	delay       time.Duration
	modeChanged chan struct{}
	links       map[*link]struct{}
	// refuses returns whether new connections of a client are reset, nil if none are.
	refuses func(client net.Addr) bool
}

// link is a client connection with its connection to the target.
type link struct {
	client, target net.Conn
	// blackholed links discard all further bytes.
	blackholed bool
}

// Listen starts a proxy on a free port of 127.0.0.1.
func Listen(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{
		addr: ln.Addr().(*net.TCPAddr).AddrPort(), listener: ln, ctx: ctx, stop: stop, target: target,
		modeChanged: make(chan struct{}), links: make(map[*link]struct{}),
	}
	p.done.Go(func() { p.accept(ln) })
	return p, nil
}

// Addr returns the proxy's address.
func (p *Proxy) Addr() netip.AddrPort { return p.addr }

// Shut closes the listener and the existing connections, as the end of a process does. New connections are refused
// until Reopen.
func (p *Proxy) Shut() {
	p.CloseListener()
	p.CloseConnections()
}

// CloseListener makes new connections be refused until Reopen.
func (p *Proxy) CloseListener() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener.Close()
}

// Reopen listens on the same address again.
func (p *Proxy) Reopen() error {
	ln, err := net.Listen("tcp", p.addr.String())
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener = ln
	p.mu.Unlock()
	if p.ctx.Err() != nil {
		return ln.Close()
	}
	p.done.Go(func() { p.accept(ln) })
	return nil
}

// SetMode changes the mode of all connections.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Blackhole {
		p.blackholeAll()
	}
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

// RefuseClients makes the proxy reset the new connections of some clients.
func (p *Proxy) RefuseClients(refuses func(client net.Addr) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = refuses
}

// SetDelay delays each direction by d.
func (p *Proxy) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

// SetTarget changes the target of new connections.
func (p *Proxy) SetTarget(target netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = target
}

// BlackholeConnections permanently discards all further bytes of the existing connections. New
// connections are not affected.
func (p *Proxy) BlackholeConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.blackholeAll()
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
}

func (p *Proxy) blackholeAll() {
	for l := range p.links {
		l.blackholed = true
	}
}

// CloseConnections closes the existing connections.
func (p *Proxy) CloseConnections() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.client.Close()
		l.target.Close()
	}
}

// Close stops the proxy and closes all its connections.
func (p *Proxy) Close() {
	p.stop()
	p.CloseListener()
	p.CloseConnections()
	p.done.Wait()
}

func (p *Proxy) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		p.done.Add(1)
		go p.serve(conn)
	}
}

func (p *Proxy) serve(client net.Conn) {
	defer p.done.Done()
	defer client.Close()
	p.mu.Lock()
	mode, addr, refuses := p.mode, p.target, p.refuses
	p.mu.Unlock()
	if mode == Refuse || refuses != nil && refuses(client.RemoteAddr()) {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(p.ctx, "tcp", addr.String())
	if err != nil {
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer target.Close()
	l := &link{client: client, target: target}
	if !p.add(l) {
		return
	}
	defer p.remove(l)
	var both sync.WaitGroup
	both.Add(2)
	go func() {
		defer both.Done()
		p.pump(l, client, target, StallToTarget)
	}()
	go func() {
		defer both.Done()
		p.pump(l, target, client, StallToClient)
	}()
	both.Wait()
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	l.blackholed = p.mode == Blackhole
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// chunk is the result of one read.
type chunk struct {
	bytes  []byte
	readAt time.Time
}

// pump copies one direction until either end closes. stallMode is the mode that stalls only this
// direction.
func (p *Proxy) pump(l *link, from, to net.Conn, stallMode Mode) {
	chunks := make(chan chunk, maxBufferedChunks)
	stopped := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{buf[:n], time.Now()}:
				case <-stopped:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !p.deliver(l, to, stallMode, c) {
			break
		}
	}
	close(stopped)
	p.awaitUnstalled(l, stallMode)
	from.Close()
	to.Close()
	for range chunks {
		continue
	}
}

// awaitUnstalled waits until this direction is no longer stalled. A blackholed connection waits
// until the proxy closes, as neither end may observe that the other has closed.
func (p *Proxy) awaitUnstalled(l *link, stallMode Mode) {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		stalled, blackholed, changed := p.mode == Stall || p.mode == stallMode, l.blackholed, p.modeChanged
		p.mu.Unlock()
		if !stalled && !blackholed {
			return
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
		}
	}
}

// deliver writes one chunk after its delay, once the direction is not stalled, or discards it if the
// link is blackholed. It returns false if the write fails or the proxy closes.
func (p *Proxy) deliver(l *link, to net.Conn, stallMode Mode, c chunk) bool {
	p.mu.Lock()
	due := c.readAt.Add(p.delay)
	p.mu.Unlock()
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		p.mu.Lock()
		mode, blackholed, changed := p.mode, l.blackholed, p.modeChanged
		p.mu.Unlock()
		switch {
		case blackholed:
			return true
		case mode != Stall && mode != stallMode:
			_, err := to.Write(c.bytes)
			return err == nil
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
			return false
		}
	}
}
