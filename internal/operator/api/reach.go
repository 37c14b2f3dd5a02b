package api

import (
	"maps"
	"slices"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/keys"
)

// AddDataCentres adds the data centres of the configuration in which the answering VM knows no
// VM: they have not confirmed anything.
func AddDataCentres(known []configuration.Confirmation, snap *configuration.Snapshot) []configuration.Confirmation {
	for _, dc := range dataCentres(snap) {
		has := slices.ContainsFunc(known, func(c configuration.Confirmation) bool { return c.DataCentre == dc })
		if !has {
			known = append(known, configuration.Confirmation{DataCentre: dc})
		}
	}
	return known
}

// AddUnconfirmed does the same for a withdrawal.
func AddUnconfirmed(w keys.Withdrawal, snap *configuration.Snapshot) keys.Withdrawal {
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

// Settled counts the VMs of a data centre that have a version or a later one in force.
func Settled(c configuration.Confirmation, version configuration.Version) int {
	n := 0
	for _, v := range c.VMs {
		if v.Answered && v.Version >= version {
			n++
		}
	}
	return n
}

// Whole says that a data centre has VMs and that all have a version or a later one in force.
func Whole(c configuration.Confirmation, version configuration.Version) bool {
	return len(c.VMs) > 0 && Settled(c, version) == len(c.VMs)
}
