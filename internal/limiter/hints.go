package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// maxHints bounds the workspaces whose balances a requester remembers.
const maxHints = 8192

// hint is a balance that a reply carried.
type hint struct {
	balance int64
	at      clock.Instant
}

// Hints remembers the balances of shares, by workspace and data centre. They only steer
// which share is asked; a wrong one costs a message.
type Hints map[string]map[string]hint

// estimate gives the believed balance of a share; one never heard of counts as full.
func (h Hints) estimate(now clock.Instant, workspace, dataCentre string, l Limit) int64 {
	known, ok := h[workspace][dataCentre]
	if !ok {
		return l.Burst
	}
	elapsed := min(max(now.Sub(known.at), 0), waitLimit)
	accrued := mulDiv(l.Rate, int64(elapsed/time.Microsecond), int64(time.Second/time.Microsecond))
	return min(l.Burst, known.balance+accrued)
}

// Learn notes a balance.
func (h Hints) Learn(now clock.Instant, workspace, dataCentre string, balance int64) {
	m := h[workspace]
	if m == nil {
		if len(h) >= maxHints {
			clear(h)
		}
		m = map[string]hint{}
		h[workspace] = m
	}
	m[dataCentre] = hint{balance: balance, at: now}
}

// Views gives what is believed of all shares of a workspace. The limits are those of the
// configuration's weights; regions maps data centres to their regions.
func (h Hints) Views(now clock.Instant, workspace string, plan Limit, w Weights, regions map[string]string, own string) []ShareView {
	out := make([]ShareView, 0, len(w))
	for _, dc := range sorted(w) {
		l := w.share(plan, dc)
		v := ShareView{dataCentre: dc, distance: distanceFar, limit: l, estimate: h.estimate(now, workspace, dc, l)}
		switch {
		case dc == own:
			v.distance = distanceOwn
		case regions[dc] == regions[own]:
			v.distance = distanceRegion
		}
		out = append(out, v)
	}
	return out
}
