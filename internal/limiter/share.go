package limiter

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/configuration"
)

// Limit is a rate in tokens per second and a burst in tokens.
type Limit struct {
	Rate  int64 `json:"rate"`
	Burst int64 `json:"burst"`
}

// Weights maps data centres to their weights in the division of every plan.
type Weights map[string]int

// PlanLimit returns the limit of a workspace across all VMs.
func PlanLimit(doc *configuration.Document, workspace string) (Limit, bool) {
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

// ShareWeights returns the weights of the data centres. An unset weight counts as 1.
func ShareWeights(doc *configuration.Document) Weights {
	out := make(Weights, len(doc.DataCentres))
	for name, dc := range doc.DataCentres {
		out[name] = max(1, dc.ShareWeight)
	}
	return out
}

// split returns one data centre's fraction of total. The fractions of all data centres sum to
// total.
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

// mulDiv returns total × part / sum without overflow for part ≤ sum.
func mulDiv(total, part, sum int64) int64 {
	return total/sum*part + total%sum*part/sum
}

// shareOf returns one data centre's share of a plan.
func (w Weights) shareOf(plan Limit, dataCentre string) Limit {
	return Limit{Rate: w.split(plan.Rate, dataCentre), Burst: w.split(plan.Burst, dataCentre)}
}

// Shards is the number of groups into which workspaces are hashed. Within a data centre, all
// workspaces of a shard have the same holder.
const Shards = 64

// ShardOf returns the shard of a workspace.
func ShardOf(workspace string) int { return int(xxhash.Sum64String(workspace) % Shards) }

// sortedKeys returns the keys of a map in ascending order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
