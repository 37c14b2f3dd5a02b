package overload

import (
	"cmp"
	"slices"
	"time"
)

const (
	// propagationTime is how long updates of other VMs take to arrive. The capacity that more urgent ranks use up in that time is
	// reserved for them.
	propagationTime = 200 * time.Millisecond
	// horizon is the time within which free capacity is brought to the reserve. A shorter one makes VMs with old news
	// of each other overshoot together.
	horizon = 1200 * time.Millisecond
	// floorShare is the least share of a rank's or workspace's calls that is placed, in relation to the greatest one's.
	// A quarter is required; the rest allows for chance.
	floorShare = 0.26
	// floorGain is how strongly a rank is favoured whose served share is under its floor.
	floorGain = 1
	// rankGap is the part of the share of the next more urgent rank that a floor gives at most.
	rankGap = 0.8
)

// Capacity is the state of a pool of engines, as this VM knows it.
type Capacity struct {
	// Free is the number of calls that the engines can still take, Running the number of those that they run.
	Free, Running float64
	// Hold is the mean time for which a call occupies its engine.
	Hold time.Duration
}

// rankShare is the share of a rank's calls that is placed.
type rankShare struct {
	rank    int
	demand  float64
	reserve float64
	// floor is the least share.
	floor, share float64
}

// rankShares divides the capacity between ranks. A rank gets what exceeds the reserve of the more urgent ranks: free
// capacity, and what will be released within the horizon. If its calls would use more than that, a share of them is
// placed, so that all VMs together place as many as there is capacity for.
//
// A rank whose served share falls under the floor is exempt from the reserve, as far as is needed to raise it again.
func rankShares(load Load, free, releases float64) []rankShare {
	byRank := map[int]float64{}
	for _, d := range load.Demands {
		byRank[d.Rank] += d.total()
	}
	var out []rankShare
	for rank, demand := range byRank {
		out = append(out, rankShare{rank: rank, demand: demand})
	}
	if len(out) == 0 {
		return nil
	}
	slices.SortFunc(out, func(a, b rankShare) int { return cmp.Compare(a.rank, b.rank) })
	// rate is the number of calls a second that can be placed, besides the reserve.
	rate := max(0, free/horizon.Seconds()+releases)
	first, floors := &out[0], 0.0
	for i := len(out) - 1; i > 0; i-- {
		r := &out[i]
		least := floorShare * load.Served[first.rank]
		r.floor = max(0, least+floorGain*(least-load.Served[r.rank]))
		if i+1 < len(out) {
			r.floor = max(r.floor, out[i+1].floor/rankGap) // a more urgent rank gets more
		}
		r.floor = min(1, r.floor)
		floors += r.floor * r.demand
	}
	first.share = min(1, rate/(first.demand+floors))
	used := first.share * first.demand
	for i := 1; i < len(out); i++ {
		r := &out[i]
		floors -= r.floor * r.demand
		r.floor = min(first.share*r.floor, rankGap*out[i-1].share)
		r.reserve = used * propagationTime.Seconds()
		left := rate - used - first.share*max(0, floors) - r.reserve/horizon.Seconds()
		r.share = min(out[i-1].share, max(r.floor, left/r.demand))
		used += r.share * r.demand
	}
	return out
}

// fill divides capacity between demands by their weights, so that what one does not use is left to the others. No
// demand gets less than its floor, a part of the greatest share. It returns the share of each demand that is met.
func fill(capacity float64, demands, weights, floors []float64) []float64 {
	shares := make([]float64, len(demands))
	floored := make([]bool, len(demands))
	for {
		left := capacity
		for i, f := range floored {
			if f {
				left -= shares[i] * demands[i]
			}
		}
		divide(left, demands, weights, floored, shares)
		again := false
		most := slices.Max(shares)
		for i := range shares {
			if floor := floors[i] * most; !floored[i] && shares[i] < floor {
				shares[i], floored[i], again = floor, true, true
			}
		}
		if !again {
			return shares
		}
	}
}

// divide sets the shares of the demands that are not fixed.
func divide(capacity float64, demands, weights []float64, fixed []bool, shares []float64) {
	met := slices.Clone(fixed)
	for again := true; again; {
		again = false
		sum := 0.0
		for i, w := range weights {
			if !met[i] {
				sum += w
			}
		}
		left := max(0, capacity)
		for i, d := range demands {
			if met[i] {
				continue
			}
			part := left * weights[i] / sum
			if shares[i] = part / d; part >= d {
				shares[i], met[i], again = 1, true, true
				capacity -= d
			}
		}
	}
}
