package limiter

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// maxHints bounds the number of workspaces whose balances a requester remembers.
const maxHints = 8192

// hint is a balance reported in a reply.
type hint struct {
	balance int64
	at      clock.Instant
}

// Hints caches the last known balances of shares by workspace and data centre. It only determines
// the order in which shares are tried; a stale entry costs an extra message.
type Hints map[string]map[string]hint

// estimate returns the estimated balance of a share. A share without a cached balance is assumed
// to be full.
func (h Hints) estimate(now clock.Instant, workspace, dataCentre string, l Limit) int64 {
	known, ok := h[workspace][dataCentre]
	if !ok {
		return l.Burst
	}
	elapsed := min(max(now.Sub(known.at), 0), maxRetryAfter)
	accrued := mulDiv(l.Rate, int64(elapsed/time.Microsecond), int64(time.Second/time.Microsecond))
	return min(l.Burst, known.balance+accrued)
}

// Update records a balance reported by a shard holder.
func (h Hints) Update(now clock.Instant, workspace, dataCentre string, balance int64) {
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

// ShareViews returns the estimated state of all shares of a workspace. Limits are computed from the
// configuration's weights. regions maps data centres to their regions.
func (h Hints) ShareViews(now clock.Instant, workspace string, plan Limit, w Weights, regions map[string]string, localDataCentre string) []ShareView {
	out := make([]ShareView, 0, len(w))
	for _, dc := range sortedKeys(w) {
		l := w.shareOf(plan, dc)
		v := ShareView{dataCentre: dc, distance: distanceRemote, limit: l, estimate: h.estimate(now, workspace, dc, l)}
		switch {
		case dc == localDataCentre:
			v.distance = distanceLocal
		case regions[dc] == regions[localDataCentre]:
			v.distance = distanceSameRegion
		}
		out = append(out, v)
	}
	return out
}
