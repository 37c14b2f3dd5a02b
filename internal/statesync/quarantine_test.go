package statesync

import (
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/fulmartide/fulmartide/internal/clock"
	"github.com/fulmartide/fulmartide/internal/quarantine"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

func newQuarantine() *quarantine.Controller {
	return quarantine.NewController(quarantine.Options{Clock: clock.BootTime{}, Log: zap.NewNop(), Metrics: metrics.NewSet()})
}

// mergedQuarantine signals each merge.
type mergedQuarantine struct {
	*quarantine.Controller
	merged chan string
}

func (m *mergedQuarantine) Merge(s quarantine.State, complete bool, from string) {
	m.Controller.Merge(s, complete, from)
	m.merged <- from
}

// TestVMsShareQuarantinedPrompts lets one VM learn of crashes before the other one starts, and of another crash
// afterwards.
func TestVMsShareQuarantinedPrompts(t *testing.T) {
	var nodes [2]*node
	var quarantines [2]*mergedQuarantine
	members, listeners := listenAsTwo(t)
	for i := range nodes {
		quarantines[i] = &mergedQuarantine{Controller: newQuarantine(), merged: make(chan string, 64)}
	}
	quarantines[0].RecordCrash(quarantine.Crash{Endpoint: traffic.EndpointID{Name: "e1"}, Call: "call", Parts: []string{"p"}})
	for i := range nodes {
		nodes[i] = startNodeWith(t, members[i], listeners[i], members[:i], quarantines[i])
	}
	for quarantines[1].Fingerprint() != quarantines[0].Fingerprint() {
		<-quarantines[1].merged
	}
	news := quarantine.State{Records: []quarantine.Record{{ID: 7, Endpoint: traffic.EndpointID{Name: "e2"}, Call: "another", Parts: []string{"p"}}}}
	quarantines[1].Controller.Merge(news, false, "test")
	nodes[1].QuarantineChanged(news)
	for quarantines[0].Fingerprint() != quarantines[1].Fingerprint() {
		<-quarantines[0].merged
	}
}
