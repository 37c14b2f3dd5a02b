package overload

import (
	"math"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

// Demand is the calls a second of one workspace and rank to a service, from all VMs.
type Demand struct {
	Rank      int
	Workspace string
	// Weight is the workspace's part of a rank's capacity in relation to others, 0 if it is not known.
	Weight float64
	// Fresh and Returned are the calls a second of callers that come for the first time, and of those that come back.
	Fresh, Returned float64
	// Served is the share of the calls that was placed lately.
	Served float64
}

func (d Demand) total() float64 { return d.Fresh + d.Returned }

// Load is what a VM knows of the calls to a service.
type Load struct {
	Demands []Demand
	// Served is the share of each rank's calls that was placed lately, 1 if there was none.
	Served [MaxRank + 1]float64
	// Rejected is the share of the sends of the last second that engines rejected.
	Rejected float64
}

// tally is the calls of a workspace and rank: fresh and returned ones and placed ones in the whole time of the counts,
// recent ones in the last second, and the latest ones.
type tally struct {
	fresh, returned, placed, recent, latest float64
}

func (t *tally) arrived() float64 { return t.fresh + t.returned }

func (t *tally) add(o tally) {
	t.fresh += o.fresh
	t.returned += o.returned
	t.placed += o.placed
	t.recent += o.recent
	t.latest += o.latest
}

// served returns the share of the calls that was placed, 1 if there was none.
func (t *tally) served() float64 {
	if t.arrived() == 0 {
		return 1
	}
	return min(1, t.placed/t.arrived())
}

// windows are the times that the counts of a tally stand for.
type windows struct{ whole, recent, latest time.Duration }

func (c *Counts) windows(now clock.Instant) windows {
	inBucket := time.Duration(int64(now) % int64(bucketTime))
	lived := max(now.Sub(c.startedAt), minCountTime)
	of := func(buckets int64) time.Duration { return min(time.Duration(buckets)*bucketTime+inBucket, lived) }
	return windows{of(servedBuckets), of(rateBuckets), of(latestBuckets)}
}

// tallies returns the tallies of a service's workspaces and ranks, and the share of sends that engines rejected.
func (c *Counts) tallies(now clock.Instant, service string) (byClass map[Class]tally, rejected float64) {
	byClass = map[Class]tally{}
	sent, refused := 0.0, 0.0
	for class, a := range c.classes {
		if class.Service != service {
			continue
		}
		a.advance(now)
		key := Class{Rank: class.Rank, Workspace: class.Workspace}
		t := byClass[key]
		whole, recent, latest := a.sums()
		switch {
		case class.Rejected:
			refused += recent
			continue
		case class.Placed:
			t.placed += whole
			sent += recent
		default:
			t.recent += recent
			t.latest += latest
			if class.Returned {
				t.returned += whole
			} else {
				t.fresh += whole
			}
		}
		byClass[key] = t
	}
	return byClass, refused / max(1, refused+sent)
}

// Load returns the load of a service. directShare is the share of the fleet's VMs that is counted: the others are
// taken to have as many arrivals. weight returns the weight of a workspace.
func (c *Counts) Load(now clock.Instant, service string, directShare float64, weight func(workspace string) float64) Load {
	var load Load
	byClass, rejected := c.tallies(now, service)
	load.Rejected = rejected
	w := c.windows(now)
	var ranks [MaxRank + 1]tally
	var estimates [MaxRank + 1]float64
	for class, t := range byClass {
		ranks[class.Rank].add(t)
		estimates[class.Rank] += t.estimate(w)
	}
	for rank := range ranks {
		load.Served[rank] = ranks[rank].served()
	}
	for class, t := range byClass {
		rate := ranks[class.Rank].rate(w) / max(directShare, minDirectShare) * t.estimate(w) / max(estimates[class.Rank], 1e-9)
		if rate <= 0 {
			continue
		}
		returned := t.returned / t.arrived()
		load.Demands = append(load.Demands, Demand{
			Rank: class.Rank, Workspace: class.Workspace, Weight: weight(class.Workspace),
			Fresh: rate * (1 - returned), Returned: rate * returned, Served: t.served(),
		})
	}
	return load
}

// minDirectShare bounds what the arrivals at this VM stand for.
const minDirectShare = 1e-3

// rate returns the calls a second of a rank: those of the last second, or more if they have risen lately.
func (t *tally) rate(w windows) float64 {
	return max(t.recent/w.recent.Seconds(), beyondChance(t.latest, 1)/w.latest.Seconds())
}

// estimate returns the calls a second of a workspace, of which few are counted: those of the whole time, or more if they
// have risen since.
func (t *tally) estimate(w windows) float64 {
	return max(t.arrived()/w.whole.Seconds(), beyondChance(t.recent, 2)/w.recent.Seconds(), beyondChance(t.latest, 2)/w.latest.Seconds())
}

// beyondChance returns the least number of calls that a count stands for, within a number of standard deviations.
func beyondChance(count, deviations float64) float64 {
	return max(0, count-deviations*math.Sqrt(count))
}
