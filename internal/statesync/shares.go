package statesync

import "github.com/fulmartide/fulmartide/internal/admission"

// size returns the number of VMs that may be serving and of those that are live, both including
// this one.
func (t *memberTable) size() (known, live int) {
	known, live = len(t.peers)+1, 1
	for _, p := range t.peers {
		if !p.unresponsive {
			live++
		}
	}
	return known, live
}

// fleetShares returns the shares of the fleet that plans and the retry budget depend on. listed is set once the registry has been listed:
// before, other VMs may be serving that are not known.
func (t *memberTable) fleetShares(listed bool) admission.FleetShares {
	unnoticed, remote := t.heartbeatTimeouts()
	if t.large() {
		unnoticed = max(unnoticed, remote)
	}
	return admission.FleetShares{
		DirectShare: t.directShare(), RemainderShare: t.remainderShare(),
		LiveShare: t.liveShare(), UnnoticedFor: unnoticed, SlackShare: t.slackShare(listed),
	}
}

// slackShare returns the share of one VM among those that may be serving. It counts those that were removed or left
// for formerRetention, which is longer than any window of the retry budget: they may be behind a partition, or their
// last retries in the window.
func (t *memberTable) slackShare(listed bool) float64 {
	if !listed {
		return 0
	}
	return 1 / float64(len(t.fleet())+1)
}

// directShare returns the fraction of the known VMs that are live direct peers, including this VM.
func (t *memberTable) directShare() float64 {
	n := 1
	for _, p := range t.peers {
		if !p.unresponsive && t.isDirect(p) {
			n++
		}
	}
	return float64(n) / float64(len(t.peers)+1)
}

// remainderShare returns the fraction of a plan's remaining tokens that the VMs of this data
// centre may use before the other data centres have reported their usage.
func (t *memberTable) remainderShare() float64 {
	if !t.large() {
		return 1
	}
	live := map[string]bool{t.self.DataCentre: true}
	for _, p := range t.peers {
		if !p.unresponsive {
			live[p.member.DataCentre] = true
		}
	}
	return 1 / float64(len(live))
}

// liveShare returns the fraction of the fleet that is live, including this VM. All data centres
// have the same weight, because callers connect to each of them, and so do all VMs of one.
func (t *memberTable) liveShare() float64 {
	known, live := map[string]int{t.self.DataCentre: 1}, map[string]int{t.self.DataCentre: 1}
	for _, p := range t.peers {
		known[p.member.DataCentre]++
		if !p.unresponsive {
			live[p.member.DataCentre]++
		}
	}
	sum := 0.0
	for dataCentre, n := range known {
		sum += float64(live[dataCentre]) / float64(n)
	}
	return sum / float64(len(known))
}
