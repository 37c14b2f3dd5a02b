package limiter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/configuration"
)

// Limit is a rate in tokens a second and a burst in tokens.
type Limit struct {
	Rate  int64 `json:"rate"`
	Burst int64 `json:"burst"`
}

// Weights gives each data centre's part of every plan.
type Weights map[string]int

// PlanOf gives the limit of a workspace over all VMs.
func PlanOf(doc *configuration.Document, workspace string) (Limit, bool) {
	w, ok := doc.Workspaces[workspace]
	if !ok {
		return Limit{}, false
	}
	p, ok := doc.Plans[w.Plan]
	if !ok {
		return Limit{}, false
	}
	return Limit{Rate: max(0, p.TokensPerSecond), Burst: min(max(0, p.BurstTokens), MaxBurstTokens)}, true
}

// WeightsOf reads the data centres' weights; a weight that is not set counts as 1.
func WeightsOf(doc *configuration.Document) Weights {
	out := make(Weights, len(doc.DataCentres))
	for name, dc := range doc.DataCentres {
		out[name] = max(1, dc.ShareWeight)
	}
	return out
}

// split gives one data centre's part of total. The parts of all data centres sum to total.
func (w Weights) split(total int64, dataCentre string) int64 {
	var sum, before int64
	for name, weight := range w {
		sum += int64(weight)
		if name < dataCentre {
			before += int64(weight)
		}
	}
	if sum == 0 || w[dataCentre] == 0 {
		return 0
	}
	return mulDiv(total, before+int64(w[dataCentre]), sum) - mulDiv(total, before, sum)
}

// mulDiv gives total × part / sum without overflow for part ≤ sum.
func mulDiv(total, part, sum int64) int64 {
	return total/sum*part + total%sum*part/sum
}

// share gives one data centre's part of a plan.
func (w Weights) share(plan Limit, dataCentre string) Limit {
	return Limit{Rate: w.split(plan.Rate, dataCentre), Burst: w.split(plan.Burst, dataCentre)}
}

// Shards is the number of groups into which workspaces are hashed. The workspaces of a
// shard have the same share holder in a data centre.
const Shards = 64

// ShardOf gives the shard of a workspace.
func ShardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % Shards) }

// sorted gives the keys of a map in order.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
