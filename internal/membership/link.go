package membership

import (
	"slices"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// linkPeriodPerDataCentre times the number of other data centres is the time between a
	// bridge's heartbeats to each of them, so that a bridge's bytes a second stay the same.
	linkPeriodPerDataCentre = 280 * time.Millisecond
	// linkRetry is the time until the next heartbeat after one that failed.
	linkRetry = 100 * time.Millisecond
	// linkFails is the number of successive failures after which a data centre is cut.
	linkFails = 3
)

// link is what a bridge knows of its way to another data centre.
type link struct {
	next    clock.Instant
	turn    int
	pinging bool
	fails   int
	cut     bool
}

// isBridge reports whether this VM talks with the other data centres.
func (m *machine) isBridge() bool {
	return slices.ContainsFunc(m.bridgesOf(m.me().DataCentre), func(e *entry) bool { return e.VM.Name == m.self })
}

// bridgesOf gives the bridges of a data centre, or its best candidates when none is heard.
func (m *machine) bridgesOf(dataCentre string) []*entry {
	if known, ok := m.known.bridges[dataCentre]; ok {
		return known
	}
	var live, others []Member
	for _, e := range m.sorted() {
		if e.DataCentre != dataCentre || e.has(FlagGone) {
			continue
		}
		if e.Flags&(FlagSuspect|FlagLeaving) == 0 && !e.unheard {
			live = append(live, Member{VM: e.VM})
		} else {
			others = append(others, Member{VM: e.VM})
		}
	}
	if len(live) == 0 {
		live = others
	}
	var out []*entry
	for _, b := range topRanked(live, bridgeDuty+dataCentre, BridgesPerDataCentre) {
		out = append(out, m.table[b.VM.Name])
	}
	m.known.bridges[dataCentre] = out
	return out
}

// tickLinks sends heartbeats to the other data centres if this VM is a bridge.
func (m *machine) tickLinks() {
	if !m.isBridge() {
		m.dropLinks()
		return
	}
	others := slices.DeleteFunc(m.dataCentres(), func(dc string) bool { return dc == m.me().DataCentre })
	for _, dc := range others {
		l := m.links[dc]
		if l == nil {
			l = &link{cut: m.isCut(dc)}
			m.links[dc] = l
		}
		if l.pinging || m.now.Before(l.next) {
			continue
		}
		m.pingLink(dc, l, time.Duration(len(others))*linkPeriodPerDataCentre)
	}
}

func (m *machine) dropLinks() {
	clear(m.links)
	if len(m.me().Cut) > 0 {
		m.me().Cut = nil
		m.say(0, "bridge no more")
	}
}

// pingLink pings the data centre's bridges in turn, and after failures any of its VMs.
func (m *machine) pingLink(dc string, l *link, period time.Duration) {
	l.next = m.now.Add(max(period, PingPeriod))
	targets := m.bridgesOf(dc)
	if l.fails > 1 || l.cut && l.turn%2 == 1 {
		targets = m.membersOf(dc)
	}
	if len(targets) == 0 {
		return
	}
	l.turn++
	target := targets[l.turn%len(targets)]
	l.pinging = true
	msg := m.pingMessage()
	m.call(m.addressOf(target), msg, asked{op: pendingPing, target: target.VM, dataCentre: dc, second: true})
}

func (m *machine) membersOf(dc string) []*entry {
	return slices.DeleteFunc(slices.Clone(m.sorted()), func(e *entry) bool { return e.DataCentre != dc || e.has(FlagGone) })
}

// linkOutcome counts the failures in a row of a link.
func (m *machine) linkOutcome(c asked, answered bool) {
	l := m.links[c.dataCentre]
	if c.dataCentre == "" || l == nil {
		return
	}
	l.pinging = false
	if answered {
		return
	}
	l.fails++
	if l.fails <= linkFails {
		l.next = m.now.Add(linkRetry)
	}
	if l.fails >= linkFails && !l.cut {
		l.cut = true
		m.sayCuts("data centre " + c.dataCentre + " not heard")
	}
}

// heardFrom ends a cut.
func (m *machine) heardFrom(dc string) {
	l := m.links[dc]
	if l == nil {
		return
	}
	l.fails = 0
	if l.cut {
		l.cut = false
		m.sayCuts("data centre " + dc + " heard again")
	}
}

func (m *machine) sayCuts(reason string) {
	var cuts []string
	for dc, l := range m.links {
		if l.cut {
			cuts = append(cuts, dc)
		}
	}
	slices.Sort(cuts)
	m.me().Cut = cuts
	m.say(0, reason)
}

// isCut reports whether all bridges of this data centre say that they do not hear another one.
func (m *machine) isCut(dc string) bool {
	if dc == m.me().DataCentre {
		return false
	}
	if cut, ok := m.known.cuts[dc]; ok {
		return cut
	}
	bridges := m.bridgesOf(m.me().DataCentre)
	cut := len(bridges) > 0
	for _, b := range bridges {
		cut = cut && slices.Contains(b.Cut, dc)
	}
	m.known.cuts[dc] = cut
	return cut
}
