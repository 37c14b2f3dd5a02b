package limiter

import (
	"maps"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// advanceLayouts migrates the data centre's record to the configuration's weights. At no time do
// the shares sum to more than a plan:
//
//  1. The new layout is added to the record. Shares are the minimum over all layouts.
//  2. Once all holders in this data centre apply that record, the layout is marked confirmed.
//  3. Once the newest layout in every other data centre's record is this one, confirmed, at the
//     same version or a later one, the older layouts are dropped and shares may grow.
//
// Versions of added layouts only increase, so no data centre returns to a layout it dropped. The
// other records are read after step 2, so if two data centres have different layouts, at least
// one of them sees the other's.
func (h *Holder) advanceLayouts(now clock.Instant) {
	newest := h.record.newest()
	version := uint64(h.snapshot.Version)
	weights := ShareWeights(&h.snapshot.Document)
	switch {
	case version > newest.Version && !maps.Equal(weights, newest.Weights):
		next := h.record.clone()
		next.Layouts = append(next.Layouts, Layout{Version: version, Weights: weights})
		h.startWrite(now, next)
	case !newest.Confirmed:
		h.confirmLayout(now)
	default:
		if h.firstLayoutKnown(now) && h.ownership.othersTimer.due(now, h.othersPeriod()) {
			h.emit(ReadOtherRecordsOut{Version: h.recordVersion})
		}
	}
}

func (h *Holder) othersPeriod() time.Duration {
	if len(h.record.Layouts) > 1 {
		return retryPeriod
	}
	return layoutPeriod
}

// confirmLayout marks the newest layout confirmed once all holders in this data centre apply the
// record that contains it.
func (h *Holder) confirmLayout(now clock.Instant) {
	missing := h.record.holders()[:0:0]
	for _, vm := range h.record.holders() {
		if vm != h.self && h.ownership.appliedVersions[vm] < h.recordVersion {
			missing = append(missing, vm)
		}
	}
	if len(missing) == 0 {
		next := h.record.clone()
		next.newest().Confirmed = true
		h.startWrite(now, next)
		return
	}
	if h.ownership.announceTimer.due(now, retryPeriod) {
		h.emit(AnnounceOut{Record: h.record, Version: h.recordVersion, To: missing})
	}
}

// onOthers drops the older layouts once all other data centres have confirmed the newest one.
// Otherwise it may raise the version of the newest layout, for data centres that wait for it.
func (h *Holder) onOthers(in OtherRecordsIn) {
	if h.ownership.firstLayout == nil || in.Version != h.recordVersion || h.record == nil || h.ownership.pendingWrite != nil || !h.isCoordinator() {
		return
	}
	newest := *h.record.newest()
	if !newest.Confirmed {
		return
	}
	agreed, migrated := true, len(h.record.Layouts) == 1
	for _, other := range in.Records {
		agreed = agreed && other.agreesOn(newest)
		migrated = migrated && other.usesOnly(newest)
	}
	for dc := range h.ownership.firstLayout.Weights {
		absent := dc != h.dataCentre && in.Records[dc] == nil
		agreed, migrated = agreed && !absent, migrated && !absent
	}
	next := h.record.clone()
	version := uint64(h.snapshot.Version)
	current := maps.Equal(newest.Weights, ShareWeights(&h.snapshot.Document))
	switch {
	case len(next.Layouts) > 1 && agreed:
		next.Layouts = []Layout{newest}
	case !migrated && current && version > newest.Version:
		next.newest().Version = version
	default:
		return
	}
	h.startWrite(h.lastStep, next)
}
