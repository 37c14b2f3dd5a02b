package placement

import (
	"maps"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// MaxCellEndpoints is the number of endpoints of one model in one region above which they are
// split by hash into several cells.
const MaxCellEndpoints = 128

// cellSpec describes one cell as configured.
type cellSpec struct {
	name      string
	region    string
	model     configuration.Model
	endpoints map[string]configuration.Endpoint
}

// modelRegion identifies the endpoints of one model in one region.
type modelRegion struct{ model, region string }

// layout is the division of the configured endpoints into cells.
type layout struct {
	version configuration.Version
	cells   map[string]*cellSpec
	// shards is the number of cells for each model and region.
	shards map[modelRegion]int
}

func newLayout(snap *configuration.Snapshot) *layout {
	l := &layout{cells: map[string]*cellSpec{}, shards: map[modelRegion]int{}}
	if snap == nil {
		return l
	}
	l.version = snap.Version
	doc := &snap.Document
	counts := map[modelRegion]int{}
	for _, e := range doc.Endpoints {
		if e.Model != "" {
			counts[regionOf(doc, e)]++
		}
	}
	for key, n := range counts {
		l.shards[key] = (n + MaxCellEndpoints - 1) / MaxCellEndpoints
	}
	for name, e := range doc.Endpoints {
		if e.Model != "" {
			l.addEndpoint(doc, name, e)
		}
	}
	return l
}

func regionOf(doc *configuration.Document, e configuration.Endpoint) modelRegion {
	return modelRegion{model: e.Model, region: doc.DataCentres[e.DataCentre].Region}
}

func (l *layout) addEndpoint(doc *configuration.Document, name string, e configuration.Endpoint) {
	key := regionOf(doc, e)
	shard := xxhash.Sum64String(name) % uint64(l.shards[key])
	cell := cellName(key, int(shard), l.shards[key])
	spec := l.cells[cell]
	if spec == nil {
		spec = &cellSpec{
			name:      cell,
			region:    key.region,
			model:     doc.Models[e.Model],
			endpoints: map[string]configuration.Endpoint{},
		}
		l.cells[cell] = spec
	}
	spec.endpoints[name] = e
}

// cellName returns model@region, followed by a shard number if there are several cells.
func cellName(key modelRegion, shard, shards int) string {
	name := key.model + "@" + key.region
	if shards > 1 {
		name += "/" + strconv.Itoa(shard)
	}
	return name
}

// cellFor returns the cell for a request. If the model has no endpoints in region, it uses the
// first region by name that has them. It returns nil if there is no endpoint for the model.
func (l *layout) cellFor(model, region string, id ident.RequestID) *cellSpec {
	key := modelRegion{model: model, region: region}
	if l.shards[key] == 0 {
		key.region = l.fallbackRegion(model)
	}
	shards := l.shards[key]
	if shards == 0 {
		return nil
	}
	shard := 0
	if shards > 1 {
		shard = int(xxhash.Sum64String(id.String()) % uint64(shards))
	}
	return l.cells[cellName(key, shard, shards)]
}

func (l *layout) fallbackRegion(model string) string {
	var regions []string
	for key := range maps.Keys(l.shards) {
		if key.model == model {
			regions = append(regions, key.region)
		}
	}
	if len(regions) == 0 {
		return ""
	}
	return slices.Min(regions)
}
