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

// network simulates partitions of data centres. Traffic between VMs and with the platform passes
// through fault proxies; the HTTP handlers of the endpoints are wrapped in partitionMiddleware.
type network struct {
	delay time.Duration

	mu                sync.Mutex
	partitioned       map[string]bool
	partitionsChanged chan struct{}
	dcOfVM            map[string]string
	peerProxies       map[route]*faultproxy.Proxy
	platformProxies   map[string]*faultproxy.Proxy
}

// route identifies the path from a data centre to a VM of another data centre.
type route struct{ from, vm string }

const (
	userAgentVM     = "fulmartide/"
	userAgentEngine = "engine/"
)

func newNetwork(delay time.Duration) *network {
	return &network{
		delay:             delay,
		partitioned:       make(map[string]bool),
		partitionsChanged: make(chan struct{}),
		dcOfVM:            make(map[string]string),
		peerProxies:       make(map[route]*faultproxy.Proxy),
		platformProxies:   make(map[string]*faultproxy.Proxy),
	}
}

func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.partitionsChanged)
	n.partitionsChanged = make(chan struct{})
	for _, p := range n.peerProxies {
		p.Close()
	}
	for _, p := range n.platformProxies {
		p.Close()
	}
}

// addPlatformProxy adds a proxy to the platform for dc and returns its address.
func (n *network) addPlatformProxy(dc string, target netip.AddrPort) (netip.AddrPort, error) {
	p, err := faultproxy.Listen(target)
	if err != nil {
		return netip.AddrPort{}, err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.platformProxies[dc] = p
	return p.Addr(), nil
}

// setVM sets addr as the target of the routes to a VM from all other data centres.
func (n *network) setVM(vm, dc string, addr netip.AddrPort, dcs []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dcOfVM[vm] = dc
	for _, from := range dcs {
		if from == dc {
			continue
		}
		r := route{from, vm}
		if n.peerProxies[r] != nil {
			n.peerProxies[r].SetTarget(addr)
			continue
		}
		p, err := faultproxy.Listen(addr)
		if err != nil {
			return err
		}
		p.SetDelay(n.delay)
		n.peerProxies[r] = p
		n.applyRoute(r, p)
	}
	return nil
}

// addrFrom returns the address of a VM as seen from a data centre: that of a proxy, or direct if
// there is none.
func (n *network) addrFrom(from, vm string, direct netip.AddrPort) netip.AddrPort {
	n.mu.Lock()
	defer n.mu.Unlock()
	if p := n.peerProxies[route{from, vm}]; p != nil {
		return p.Addr()
	}
	return direct
}

// setPartitioned partitions a data centre from all others and from the platform, or heals the
// partition.
func (n *network) setPartitioned(dc string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[dc] = partitioned
	for r, p := range n.peerProxies {
		if r.from == dc || n.dcOfVM[r.vm] == dc {
			n.applyRoute(r, p)
		}
	}
	n.platformProxies[dc].SetMode(partitionMode(partitioned))
	close(n.partitionsChanged)
	n.partitionsChanged = make(chan struct{})
}

func (n *network) applyRoute(r route, p *faultproxy.Proxy) {
	p.SetMode(partitionMode(n.partitioned[r.from] || n.partitioned[n.dcOfVM[r.vm]]))
}

func partitionMode(partitioned bool) faultproxy.Mode {
	if partitioned {
		return faultproxy.Stall
	}
	return faultproxy.Pass
}

// blackholeConnections permanently blackholes the open connections of a data centre with others
// and with the platform.
func (n *network) blackholeConnections(dc string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for r, p := range n.peerProxies {
		if r.from == dc || n.dcOfVM[r.vm] == dc {
			p.BlackholeConnections()
		}
	}
	n.platformProxies[dc].BlackholeConnections()
}

// sourceOf returns the data centre of the VM or engine that sent a request to an endpoint, as
// identified by the request's headers. It returns an empty string if the sender is unknown.
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

// awaitReachable waits while a partition separates two data centres. It returns false if the
// request's context ends. An empty a stands for an unknown sender, which is always reachable.
func (n *network) awaitReachable(r *http.Request, a, b string) bool {
	if a == b || a == "" {
		return true
	}
	for {
		n.mu.Lock()
		blocked, changed := n.partitioned[a] || n.partitioned[b], n.partitionsChanged
		n.mu.Unlock()
		if !blocked {
			return r.Context().Err() == nil
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// partitionMiddleware delays the requests to an endpoint in dc, and its responses, while a
// partition separates dc from their source.
func (n *network) partitionMiddleware(dc string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		from := n.sourceOf(r)
		if n.awaitReachable(r, from, dc) {
			next.ServeHTTP(&partitionedWriter{
				ResponseWriter: w, awaitReachable: func() bool { return n.awaitReachable(r, from, dc) },
			}, r)
		}
	})
}

type partitionedWriter struct {
	http.ResponseWriter
	awaitReachable func() bool
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *partitionedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// Write implements http.ResponseWriter.
func (w *partitionedWriter) Write(p []byte) (int, error) {
	if !w.awaitReachable() {
		return 0, http.ErrHandlerTimeout
	}
	return w.ResponseWriter.Write(p)
}
