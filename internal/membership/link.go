package membership

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// A bridge sends a heartbeat to each other data centre once every linkPeriodPerDataCentre × (number
	// of other data centres), but not more often than every PingPeriod, so that its traffic does not
	// grow with the number of data centres.
	linkPeriodPerDataCentre = 280 * time.Millisecond
	// linkRetryDelay is the delay before the next heartbeat after a failed one.
	linkRetryDelay = 100 * time.Millisecond
	// maxLinkFailures is the number of consecutive failures after which a data centre counts as
	// unreachable.
	maxLinkFailures = 3
)

// link is the state that a bridge keeps about its connection to another data centre.
type link struct {
	nextPing    clock.Instant
	targetIndex int
	pinging     bool
	failures    int
	down        bool
}

// isBridge reports whether this VM communicates with the other data centres.
func (m *machine) isBridge() bool {
	return slices.ContainsFunc(m.bridgesOf(m.me().DataCentre), func(e *entry) bool { return e.VM.Name == m.self })
}

// bridgesOf returns the bridges of a data centre: the highest-ranked of its live VMs, or if none is
// live, the highest-ranked of the others that are not Gone.
func (m *machine) bridgesOf(dataCentre string) []*entry {
	if bridges, ok := m.derived.bridges[dataCentre]; ok {
		return bridges
	}
	var live, others []Member
	for _, e := range m.sorted() {
		if e.DataCentre != dataCentre || e.hasAny(FlagGone) {
			continue
		}
		if e.Flags&(FlagSuspect|FlagLeaving) == 0 && !e.unreachable {
			live = append(live, Member{VM: e.VM})
		} else {
			others = append(others, Member{VM: e.VM})
		}
	}
	if len(live) == 0 {
		live = others
	}
	var out []*entry
	for _, b := range topRanked(live, bridgeRole+dataCentre, BridgesPerDataCentre) {
		out = append(out, m.table[b.VM.Name])
	}
	m.derived.bridges[dataCentre] = out
	return out
}

// pingLinks sends heartbeats to the other data centres if this VM is a bridge.
func (m *machine) pingLinks() {
	if !m.isBridge() {
		m.closeLinks()
		return
	}
	others := slices.DeleteFunc(m.dataCentres(), func(dc string) bool { return dc == m.me().DataCentre })
	for _, dc := range others {
		l := m.links[dc]
		if l == nil {
			l = &link{down: m.isUnreachable(dc)}
			m.links[dc] = l
		}
		if l.pinging || m.now.Before(l.nextPing) {
			continue
		}
		m.pingLink(dc, l, time.Duration(len(others))*linkPeriodPerDataCentre)
	}
}

func (m *machine) closeLinks() {
	clear(m.links)
	if len(m.me().UnreachableDataCentres) > 0 {
		m.me().UnreachableDataCentres = nil
		m.updateSelf(0, "no longer a bridge")
	}
}

// pingLink pings the bridges of a data centre in turn, and after failures any of its VMs.
func (m *machine) pingLink(dc string, l *link, period time.Duration) {
	l.nextPing = m.now.Add(max(period, PingPeriod))
	targets := m.bridgesOf(dc)
	if l.failures > 1 || l.down && l.targetIndex%2 == 1 {
		targets = m.membersOf(dc)
	}
	if len(targets) == 0 {
		return
	}
	l.targetIndex++
	target := targets[l.targetIndex%len(targets)]
	l.pinging = true
	msg := m.pingMessage()
	m.call(m.addressOf(target), msg, pendingCall{kind: pendingPing, target: target.VM, dataCentre: dc, final: true})
}

func (m *machine) membersOf(dc string) []*entry {
	return slices.DeleteFunc(slices.Clone(m.sorted()), func(e *entry) bool { return e.DataCentre != dc || e.hasAny(FlagGone) })
}

// recordLinkOutcome counts the consecutive failures of a link.
func (m *machine) recordLinkOutcome(c pendingCall, answered bool) {
	l := m.links[c.dataCentre]
	if c.dataCentre == "" || l == nil {
		return
	}
	l.pinging = false
	if answered {
		return
	}
	l.failures++
	if l.failures <= maxLinkFailures {
		l.nextPing = m.now.Add(linkRetryDelay)
	}
	if l.failures >= maxLinkFailures && !l.down {
		l.down = true
		m.announceUnreachable("data centre " + c.dataCentre + " unreachable")
	}
}

// markLinkUp resets the failures of a link.
func (m *machine) markLinkUp(dc string) {
	l := m.links[dc]
	if l == nil {
		return
	}
	l.failures = 0
	if l.down {
		l.down = false
		m.announceUnreachable("data centre " + dc + " reachable again")
	}
}

func (m *machine) announceUnreachable(reason string) {
	var unreachable []string
	for dc, l := range m.links {
		if l.down {
			unreachable = append(unreachable, dc)
		}
	}
	slices.Sort(unreachable)
	m.me().UnreachableDataCentres = unreachable
	m.updateSelf(0, reason)
}

// isUnreachable reports whether all bridges of this data centre report that they cannot reach dc.
func (m *machine) isUnreachable(dc string) bool {
	if dc == m.me().DataCentre {
		return false
	}
	if unreachable, ok := m.derived.unreachable[dc]; ok {
		return unreachable
	}
	bridges := m.bridgesOf(m.me().DataCentre)
	unreachable := len(bridges) > 0
	for _, b := range bridges {
		unreachable = unreachable && slices.Contains(b.UnreachableDataCentres, dc)
	}
	m.derived.unreachable[dc] = unreachable
	return unreachable
}
