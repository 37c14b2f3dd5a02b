package api

import (
	"maps"
	"slices"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/keys"
)

// AddMissingDataCentres adds an empty confirmation for each configured data centre that has none,
// because the responding VM knows no VM there.
func AddMissingDataCentres(known []configuration.Confirmation, snap *configuration.Snapshot) []configuration.Confirmation {
	for _, dc := range dataCentres(snap) {
		has := slices.ContainsFunc(known, func(c configuration.Confirmation) bool { return c.DataCentre == dc })
		if !has {
			known = append(known, configuration.Confirmation{DataCentre: dc})
		}
	}
	return known
}

// AddUnconfirmedDataCentres adds each configured data centre that is missing from the withdrawal to
// the unconfirmed ones.
func AddUnconfirmedDataCentres(w keys.Withdrawal, snap *configuration.Snapshot) keys.Withdrawal {
	for _, dc := range dataCentres(snap) {
		if !slices.Contains(w.Confirmed, dc) && !slices.Contains(w.Unconfirmed, dc) {
			w.Unconfirmed = append(w.Unconfirmed, dc)
		}
	}
	return w
}

func dataCentres(snap *configuration.Snapshot) []string {
	if snap == nil {
		return nil
	}
	return slices.Sorted(maps.Keys(snap.Document.DataCentres))
}

// CountConfirmed returns how many VMs of a data centre have the version or a later one.
func CountConfirmed(c configuration.Confirmation, version configuration.Version) int {
	n := 0
	for _, v := range c.VMs {
		if v.Answered && v.Version >= version {
			n++
		}
	}
	return n
}

// AllConfirmed reports whether a data centre has VMs and all of them have the version or a later one.
func AllConfirmed(c configuration.Confirmation, version configuration.Version) bool {
	return len(c.VMs) > 0 && CountConfirmed(c, version) == len(c.VMs)
}
