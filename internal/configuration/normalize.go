package configuration

import "maps"

// Values of fields that a document omits.
const (
	// DefaultWeight is the default of Plan.Weight and DataCentre.ShareWeight.
	DefaultWeight = 1
	// DefaultPieceTokens is the default of Model.PieceTokens.
	DefaultPieceTokens = 2048
	// DefaultMaxOutputTokens is the default of Model.MaxOutputTokens.
	DefaultMaxOutputTokens = 1024
	// DefaultModelDeadlineMillis is the default of Model.DeadlineMillis.
	DefaultModelDeadlineMillis = 60_000
	// DefaultRouteDeadlineMillis is the default of Route.DeadlineMillis.
	DefaultRouteDeadlineMillis = 10_000
	// DefaultCostTokens is the default of Route.CostTokens.
	DefaultCostTokens = 1
)

// Normalize returns a copy of doc with defaults for omitted fields. It is idempotent.
func Normalize(doc Document) Document {
	return Document{
		DataCentres: mapObjects(doc.DataCentres, func(d DataCentre) DataCentre {
			setDefault(&d.ShareWeight, DefaultWeight)
			return d
		}),
		Plans: mapObjects(doc.Plans, func(p Plan) Plan {
			setDefault(&p.Weight, DefaultWeight)
			return p
		}),
		Workspaces: mapObjects(doc.Workspaces, func(w Workspace) Workspace { return w }),
		Models:     mapObjects(doc.Models, normalizeModel),
		Routes:     mapObjects(doc.Routes, normalizeRoute),
		Endpoints:  mapObjects(doc.Endpoints, func(e Endpoint) Endpoint { return e }),
	}
}

func normalizeModel(m Model) Model {
	setDefault(&m.PieceTokens, DefaultPieceTokens)
	setDefault(&m.MaxOutputTokens, DefaultMaxOutputTokens)
	setDefault(&m.DeadlineMillis, DefaultModelDeadlineMillis)
	return m
}

func normalizeRoute(r Route) Route {
	setDefault(&r.Class, Urgent)
	setDefault(&r.CostTokens, DefaultCostTokens)
	setDefault(&r.DeadlineMillis, DefaultRouteDeadlineMillis)
	return r
}

func setDefault[T comparable](field *T, value T) {
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
