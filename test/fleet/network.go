package fleet

import (
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/test/faultproxy"
)

// network knows which data centres are cut off, and carries all traffic between them: that
// of VMs and with the platform through proxies, that with endpoints by a gate in their handlers.
type network struct {
	delay time.Duration

	mu       sync.Mutex
	cut      map[string]bool
	changed  chan struct{}
	dcOfVM   map[string]string
	peers    map[route]*faultproxy.Proxy
	platform map[string]*faultproxy.Proxy
}

// route is the way from a data centre to a VM elsewhere.
type route struct{ from, vm string }

const (
	userAgentVM     = "fulmartide/"
	userAgentEngine = "engine/"
)

func newNetwork(delay time.Duration) *network {
	return &network{
		delay:    delay,
		cut:      make(map[string]bool),
		changed:  make(chan struct{}),
		dcOfVM:   make(map[string]string),
		peers:    make(map[route]*faultproxy.Proxy),
		platform: make(map[string]*faultproxy.Proxy),
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.changed)
	n.changed = make(chan struct{})
	for _, p := range n.peers {
		p.Close()
	}
	for _, p := range n.platform {
		p.Close()
	}
}

// addPlatform gives the address of the platform as seen from dc.
func (n *network) addPlatform(dc string, target netip.AddrPort) (netip.AddrPort, error) {
	p, err := faultproxy.Listen(target)
	if err != nil {
		return netip.AddrPort{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platform[dc] = p
	return p.Addr(), nil
}

// setVM makes the ways to a VM from all other data centres lead to addr.
func (n *network) setVM(vm, dc string, addr netip.AddrPort, dcs []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dcOfVM[vm] = dc
	for _, from := range dcs {
		if from == dc {
			continue
		}
		r := route{from, vm}
		if n.peers[r] != nil {
			n.peers[r].SetTarget(addr)
			continue
		}
		p, err := faultproxy.Listen(addr)
		if err != nil {
			return err
		}
		p.SetDelay(n.delay)
		n.peers[r] = p
		n.applyRoute(r, p)
	}
	return nil
}

// addrFrom gives the address of a VM as seen from a data centre.
func (n *network) addrFrom(from, vm string, own netip.AddrPort) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peers[route{from, vm}]; p != nil {
		return p.Addr()
	}
	return own
}

// setCut cuts a data centre off from all others and from the platform, or heals it.
func (n *network) setCut(dc string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[dc] = cut
	for r, p := range n.peers {
		if r.from == dc || n.dcOfVM[r.vm] == dc {
			n.applyRoute(r, p)
		}
	}
	n.platform[dc].Set(modeOf(cut))
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *network) applyRoute(r route, p *faultproxy.Proxy) {
	p.Set(modeOf(n.cut[r.from] || n.cut[n.dcOfVM[r.vm]]))
}

func modeOf(cut bool) faultproxy.Mode {
	if cut {
		return faultproxy.Hold
	}
	return faultproxy.Pass
}

// forget makes the open connections of a data centre with others silent for good.
func (n *network) forget(dc string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r, p := range n.peers {
		if r.from == dc || n.dcOfVM[r.vm] == dc {
			p.Forget()
		}
	}
	n.platform[dc].Forget()
}

// sourceOf gives the data centre that a request to an endpoint comes from, by the VM or the
// engine that its headers name.
func (n *network) sourceOf(r *http.Request) string {
	agent := r.UserAgent()
	if dc, ok := strings.CutPrefix(agent, userAgentEngine); ok {
		return dc
	}
	vm, ok := strings.CutPrefix(agent, userAgentVM)
	if id, err := ident.ParseRequestID(r.Header.Get("X-Request-Id")); err == nil {
		vm, ok = id.VM.Name, true
	}
	if !ok {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.dcOfVM[vm]
}

// await waits while traffic between two data centres is held back. It reports false when the
// client left first.
func (n *network) await(r *http.Request, a, b string) bool {
	if a == b || a == "" {
		return true
	}
	for {
		n.mu.Lock()
		held, changed := n.cut[a] || n.cut[b], n.changed
		n.mu.Unlock()
		if !held {
			return r.Context().Err() == nil
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// gate holds back requests to an endpoint in dc, and its answers, while their source is cut off.
func (n *network) gate(dc string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := n.sourceOf(r)
		if n.await(r, from, dc) {
			next.ServeHTTP(&gatedWriter{ResponseWriter: w, pass: func() bool { return n.await(r, from, dc) }}, r)
		}
	})
}

type gatedWriter struct {
	http.ResponseWriter
	pass func() bool
}

// Unwrap lets http.ResponseController reach the server's writer.
func (w *gatedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *gatedWriter) Write(p []byte) (int, error) {
	if !w.pass() {
		return 0, http.ErrHandlerTimeout
	}
	return w.ResponseWriter.Write(p)
}
