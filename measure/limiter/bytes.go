package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/fulmartide/fulmartide/internal/ident"
	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/measure/limiter/simulation"
)

// frameOverhead returns the number of bytes that the transport adds to the body of a call, a reply and
// a one-way message. It measures them on a loopback connection. Frames of the client are counted under
// their kind, replies of the server under their kind + 100, which is greater than every kind. Kind 0 is
// the handshake and is not counted.
func frameOverhead() (call, reply, oneWay int) {
	var mu sync.Mutex
	sent := map[peer.Kind]int{}
	arrived := make(chan struct{}, 1)
	count := func(outgoing bool, k peer.Kind, n int) {
		mu.Lock()
		defer mu.Unlock()
		if outgoing && k != 0 {
			sent[k] += n
		}
	}
	server := peer.New(peer.Options{Self: ident.VM{Name: "server", Incarnation: 1 << 60}, CountFrame: func(outgoing bool, k peer.Kind, n int) {
		if outgoing {
			count(true, k+100, n)
		}
	}})
	client := peer.New(peer.Options{Self: ident.VM{Name: "client", Incarnation: 1 << 60}, CountFrame: count})
	defer server.Close()
	defer client.Close()
	body := []byte{0xc0} // nil in msgpack
	server.Handle(peer.KindLimiterReserve, func(context.Context, ident.VM, []byte) ([]byte, error) { return body, nil })
	server.Handle(peer.KindLimiterSettle, func(context.Context, ident.VM, []byte) ([]byte, error) {
		arrived <- struct{}{}
		return nil, nil
	})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	go func() { _ = server.Serve(ln) }()
	addr := netip.MustParseAddrPort(ln.Addr().String())
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	if _, err := client.Call(ctx, addr, peer.KindLimiterReserve, body); err != nil {
		panic(err)
	}
	if err := client.Send(ctx, addr, peer.KindLimiterSettle, body); err != nil {
		panic(err)
	}
	<-arrived
	mu.Lock()
	defer mu.Unlock()
	return sent[peer.KindLimiterReserve] - len(body), sent[peer.KindLimiterReserve+100] - len(body),
		sent[peer.KindLimiterSettle] - len(body)
}

func printLargeFleet(f *simulation.Fleet, seconds float64, vms, requests, reads, writes int) {
	call, reply, oneWay := frameOverhead()
	r := summarize(f)
	frame := map[simulation.Kind]int{simulation.Reserve: call, simulation.Reply: reply, simulation.Settle: oneWay, simulation.Control: call, simulation.Reclaim: call}
	names := map[simulation.Kind]string{simulation.Reserve: "reserve", simulation.Reply: "reply", simulation.Settle: "settle", simulation.Control: "control", simulation.Reclaim: "reclaim"}
	fmt.Printf("\nlarge fleet: %d VMs, %.0f requests/s; since the start, wrongly refused %d and refused %d of %d requests; share requests/request %.2f, p50 %v, p99 %v\n",
		vms, float64(requests)/seconds,
		r.wrongful, r.refused, r.requests, r.perRequest(r.shareRequests), r.quantile(0.5), r.quantile(0.99))
	total := 0.0
	for k := simulation.Reserve; k <= simulation.Reclaim; k++ {
		n, body := f.Traffic.Messages[k], f.Traffic.Bytes[k]
		perVM := float64(body+n*frame[k]) / seconds / float64(vms)
		total += perVM
		fmt.Printf("%-8s %6.2f messages/s per VM, body %5.1f B, frame %d B, sent %7.1f B/s per VM\n", names[k],
			float64(n)/seconds/float64(vms), float64(body)/float64(max(1, n)), frame[k], perVM)
	}
	fmt.Printf("all      %.0f B/s sent per VM, %.1f B per request; platform %.1f reads/s, %.1f writes/s for the fleet\n",
		total, total*float64(vms)*seconds/float64(requests), float64(reads)/seconds, float64(writes)/seconds)
}
