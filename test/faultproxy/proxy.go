// Package faultproxy passes TCP connections on to a target and fails as networks do: it
// refuses, cuts, goes mute, holds back one or both ways, or delays.
package faultproxy

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"
)

// Mode is what a Proxy does with connections.
type Mode int

// The modes.
const (
	// Pass carries all bytes.
	Pass Mode = iota
	// Refuse closes new connections at once.
	Refuse
	// Silence swallows the bytes of all connections, old and new, without closing them. A
	// connection that was silent stays so for good.
	Silence
	// Hold keeps bytes back both ways until another mode is set, as a partition does.
	Hold
	// HoldToTarget keeps back the bytes towards the target only.
	HoldToTarget
	// HoldToClient keeps back the bytes towards the client only.
	HoldToClient
)

const (
	chunkBytes  = 32 << 10
	chunksAhead = 32
	dialTimeout = 2 * time.Second
)

// Proxy is one listener before one target.
type Proxy struct {
	listener net.Listener
	ctx      context.Context
	stop     context.CancelFunc
	done     sync.WaitGroup

	mu      sync.Mutex
	target  netip.AddrPort
	mode    Mode
	delay   time.Duration
	changed chan struct{}
	links   map[*link]struct{}
}

// link is one client's connection and the one to the target.
type link struct {
	client, target net.Conn
	// mute is set once bytes were swallowed.
	mute bool
}

// Listen starts a proxy on a free port of 127.0.0.1.
func Listen(target netip.AddrPort) (*Proxy, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Proxy{listener: ln, ctx: ctx, stop: stop, target: target, changed: make(chan struct{}), links: make(map[*link]struct{})}
	p.done.Add(1)
	go p.accept()
	return p, nil
}

// Addr gives the proxy's address.
func (p *Proxy) Addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// Set changes the mode for all connections.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == Silence {
		p.muteAll()
	}
	close(p.changed)
	p.changed = make(chan struct{})
}

// SetDelay delays each way by d.
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

// Forget makes the present connections silent for good; new ones work.
func (p *Proxy) Forget() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.muteAll()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) muteAll() {
	for l := range p.links {
		l.mute = true
	}
}

// Cut closes the present connections.
func (p *Proxy) Cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.client.Close()
		l.target.Close()
	}
}

// Close ends the proxy and all its connections.
func (p *Proxy) Close() {
	p.stop()
	p.listener.Close()
	p.Cut()
	p.done.Wait()
}

func (p *Proxy) accept() {
	defer p.done.Done()
	for {
		conn, err := p.listener.Accept()
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
	mode, addr := p.mode, p.target
	p.mu.Unlock()
	if mode == Refuse {
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
		p.pump(l, client, target, HoldToTarget)
	}()
	go func() {
		defer both.Done()
		p.pump(l, target, client, HoldToClient)
	}()
	both.Wait()
}

func (p *Proxy) add(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ctx.Err() != nil {
		return false
	}
	l.mute = p.mode == Silence
	p.links[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// chunk is what was read at one moment.
type chunk struct {
	bytes []byte
	at    time.Time
}

// pump carries one way until either end closes. hold is the mode that keeps this way back.
func (p *Proxy) pump(l *link, from, to net.Conn, hold Mode) {
	chunks := make(chan chunk, chunksAhead)
	broken := make(chan struct{})
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, chunkBytes)
			n, err := from.Read(buf)
			if n > 0 {
				select {
				case chunks <- chunk{buf[:n], time.Now()}:
				case <-broken:
					return
				}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !p.deliver(l, to, hold, c) {
			break
		}
	}
	close(broken)
	p.awaitPass(l, hold)
	from.Close()
	to.Close()
	for range chunks {
		continue
	}
}

// awaitPass waits out a hold. A connection that was forgotten waits for the proxy's end: its
// ends must not hear of each other's close.
func (p *Proxy) awaitPass(l *link, hold Mode) {
	for p.ctx.Err() == nil {
		p.mu.Lock()
		held, mute, changed := p.mode == Hold || p.mode == hold, l.mute, p.changed
		p.mu.Unlock()
		if !held && !mute {
			return
		}
		select {
		case <-changed:
		case <-p.ctx.Done():
		}
	}
}

// deliver writes one chunk once its delay and any hold have passed.
func (p *Proxy) deliver(l *link, to net.Conn, hold Mode, c chunk) bool {
	p.mu.Lock()
	due := c.at.Add(p.delay)
	p.mu.Unlock()
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		p.mu.Lock()
		mode, mute, changed := p.mode, l.mute, p.changed
		p.mu.Unlock()
		switch {
		case mute:
			return true
		case mode != Hold && mode != hold:
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
