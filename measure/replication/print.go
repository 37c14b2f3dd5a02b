package main

import (
	"context"
	"fmt"
	"time"

	"github.com/fulmartide/fulmartide/internal/peer"
	"github.com/fulmartide/fulmartide/test/controlfleet"
)

func background() context.Context { return context.Background() }

var kinds = []struct {
	kind peer.Kind
	name string
}{
	{0, "hello, ping"},
	{peer.KindMembership, "membership"},
	{peer.KindConfiguration, "configuration"},
	{peer.KindKeys, "keys"},
}

// print prints the bytes per second that the VMs sent: the mean of all VMs, the busiest bridge and the
// busiest other VM.
func (m *meter) print(when string, vms []*controlfleet.VM, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var bridge, other string
	maxRate := map[bool]float64{}
	for _, v := range vms {
		name := v.Member.VM.Name
		_, isBridge := v.Membership.View().BridgeRank()
		if s := m.totalRate(name, d); s >= maxRate[isBridge] {
			maxRate[isBridge] = s
			if isBridge {
				bridge = name
			} else {
				other = name
			}
		}
	}
	fmt.Printf("bytes per second sent by one VM %s (frames; in brackets with TCP/IP headers and acknowledgements)\n", when)
	fmt.Printf("%-14s %8s %10s %22s %22s\n", "kind", "B/frame", "mean", "busiest bridge", "busiest other")
	for _, k := range kinds {
		frames, bytes := 0, 0
		for _, v := range vms {
			frames += m.frames[v.Member.VM.Name][k.kind]
			bytes += m.bytes[v.Member.VM.Name][k.kind]
		}
		if frames == 0 {
			fmt.Printf("%-14s %8s %10d\n", k.name, "-", 0)
			continue
		}
		fmt.Printf("%-14s %8d %10.0f %22s %22s\n", k.name, bytes/frames, float64(bytes)/d.Seconds()/float64(len(vms)), m.cell(bridge, k.kind, d), m.cell(other, k.kind, d))
	}
	total := 0.0
	for _, v := range vms {
		total += m.totalRate(v.Member.VM.Name, d)
	}
	fmt.Printf("%-14s %8s %10s %22s %22s\n", "sum on wire", "", fmt.Sprintf("(%.0f)", total/float64(len(vms))), fmt.Sprintf("(%.0f)", maxRate[true]), fmt.Sprintf("(%.0f)", maxRate[false]))
}

func (m *meter) cell(vm string, kind peer.Kind, d time.Duration) string {
	return fmt.Sprintf("%.0f (%.0f)", float64(m.bytes[vm][kind])/d.Seconds(), m.wireRate(vm, kind, d))
}

func (m *meter) wireRate(vm string, kind peer.Kind, d time.Duration) float64 {
	return float64(m.bytes[vm][kind]+2*segmentHeaderBytes*m.frames[vm][kind]) / d.Seconds()
}

func (m *meter) totalRate(vm string, d time.Duration) float64 {
	s := 0.0
	for kind := range m.bytes[vm] {
		s += m.wireRate(vm, kind, d)
	}
	return s
}
