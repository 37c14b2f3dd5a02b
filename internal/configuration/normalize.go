package configuration

import "maps"

// The values of fields that a document leaves out.
const (
	// DefaultWeight is a plan's and a data centre's weight.
	DefaultWeight = 1
	// DefaultPieceTokens is the size of one piece of the prefix cache.
	DefaultPieceTokens = 2048
	// DefaultMaxOutputTokens bounds max_tokens.
	DefaultMaxOutputTokens = 1024
	// DefaultModelDeadlineMillis bounds a call to a model.
	DefaultModelDeadlineMillis = 60_000
	// DefaultRouteDeadlineMillis bounds a call to a plain service.
	DefaultRouteDeadlineMillis = 10_000
	// DefaultCostTokens is taken from the plan for each call of a route.
	DefaultCostTokens = 1
)

// Normalize gives a copy of doc with the defaults filled in. It is idempotent.
func Normalize(doc Document) Document {
	return Document{
		DataCentres: mapObjects(doc.DataCentres, func(d DataCentre) DataCentre {
			fill(&d.ShareWeight, DefaultWeight)
			return d
		}),
		Plans: mapObjects(doc.Plans, func(p Plan) Plan {
			fill(&p.Weight, DefaultWeight)
			return p
		}),
		Workspaces: mapObjects(doc.Workspaces, func(w Workspace) Workspace { return w }),
		Models:     mapObjects(doc.Models, normalizeModel),
		Routes:     mapObjects(doc.Routes, normalizeRoute),
		Endpoints:  mapObjects(doc.Endpoints, func(e Endpoint) Endpoint { return e }),
	}
}

func normalizeModel(m Model) Model {
	fill(&m.PieceTokens, DefaultPieceTokens)
	fill(&m.MaxOutputTokens, DefaultMaxOutputTokens)
	fill(&m.DeadlineMillis, DefaultModelDeadlineMillis)
	return m
}

func normalizeRoute(r Route) Route {
	fill(&r.Class, Urgent)
	fill(&r.CostTokens, DefaultCostTokens)
	fill(&r.DeadlineMillis, DefaultRouteDeadlineMillis)
	return r
}

func fill[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

func mapObjects[T any](in map[string]T, change func(T) T) map[string]T {
	out := maps.Clone(in)
	if out == nil {
		out = map[string]T{}
	}
	for name, object := range in {
		out[name] = change(object)
	}
	return out
}
