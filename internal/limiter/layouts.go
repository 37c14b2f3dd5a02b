package limiter

import (
	"maps"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// advanceLayouts moves the data centre's record to the configuration's weights without the
// shares ever summing to more than a plan:
//
//  1. The new layout is added to the record; shares are the least over all layouts.
//  2. Once all holders here apply that record, the layout is marked confirmed.
//  3. Once every other data centre's record has the layout confirmed as its newest, at this
//     version or a later one, the older layouts are dropped and shares may grow.
//
// Versions of added layouts only grow, so no data centre returns to a layout it dropped.
// The others are read after step 2, so of two that differ at least one sees the other.
func (h *Holder) advanceLayouts(now clock.Instant) {
	newest := h.rec.newest()
	version := uint64(h.snapshot.Version)
	weights := WeightsOf(&h.snapshot.Document)
	switch {
	case version > newest.Version && !maps.Equal(weights, newest.Weights):
		next := h.rec.clone()
		next.Layouts = append(next.Layouts, Layout{Version: version, Weights: weights})
		h.write(now, next)
	case !newest.Confirmed:
		h.confirmLayout(now)
	default:
		if h.knowsFirst(now) && h.claims.others.due(now, h.othersPeriod()) {
			h.emit(ReadOthersOut{Version: h.recVersion})
		}
	}
}

func (h *Holder) othersPeriod() time.Duration {
	if len(h.rec.Layouts) > 1 {
		return retryPeriod
	}
	return layoutPeriod
}

// confirmLayout waits until all holders here apply the record that holds the newest layout.
func (h *Holder) confirmLayout(now clock.Instant) {
	missing := h.rec.holders()[:0:0]
	for _, vm := range h.rec.holders() {
		if vm != h.self && h.claims.acked[vm] < h.recVersion {
			missing = append(missing, vm)
		}
	}
	if len(missing) == 0 {
		next := h.rec.clone()
		next.newest().Confirmed = true
		h.write(now, next)
		return
	}
	if h.claims.announce.due(now, retryPeriod) {
		h.emit(AnnounceOut{Record: h.rec, Version: h.recVersion, To: missing})
	}
}

// onOthers drops the older layouts once all other data centres keep within the newest, or
// renews the newest one's version for a data centre that waits for it.
func (h *Holder) onOthers(in OthersIn) {
	if h.claims.first == nil || in.Version != h.recVersion || h.rec == nil || h.claims.pending != nil || !h.coordinates() {
		return
	}
	newest := *h.rec.newest()
	if !newest.Confirmed {
		return
	}
	agreed, settled := true, len(h.rec.Layouts) == 1
	for _, other := range in.Records {
		agreed = agreed && other.admits(newest)
		settled = settled && other.settled(newest)
	}
	for dc := range h.claims.first.Weights {
		absent := dc != h.dataCentre && in.Records[dc] == nil
		agreed, settled = agreed && !absent, settled && !absent
	}
	next := h.rec.clone()
	version := uint64(h.snapshot.Version)
	current := maps.Equal(newest.Weights, WeightsOf(&h.snapshot.Document))
	switch {
	case len(next.Layouts) > 1 && agreed:
		next.Layouts = []Layout{newest}
	case !settled && current && version > newest.Version:
		next.newest().Version = version
	default:
		return
	}
	h.write(h.lastStep, next)
}
