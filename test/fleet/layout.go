// Package fleet runs a complete fleet on loopback: daemons as real processes, stand-ins for the
// platform, engines and services, and fault proxies between data centres.
package fleet

import (
	"fmt"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/keys"
)

// DataCentre is one data centre of a layout.
type DataCentre struct {
	Name string
	// VMs is the number of VMs.
	VMs int
	// Prefill, Decode and Services are the numbers of endpoints of each role.
	Prefill, Decode, Services int
}

// Workspace is one customer with one key.
type Workspace struct {
	Name string
	Plan string
}

// Layout describes a fleet.
type Layout struct {
	Name        string
	Region      string
	DataCentres []DataCentre
	// OneWayDelay is the network delay between data centres in each direction.
	OneWayDelay time.Duration
	Workspaces  []Workspace
	Plans       map[string]configuration.Plan
	// ModelName and Model describe the model that all engines serve.
	ModelName string
	Model     configuration.Model
	// Service is the name of the plain HTTP service to which all Routes forward.
	Service        string
	ServiceLatency time.Duration
	Routes         map[string]configuration.Route
	// ReadPath matches a route with Idempotent set, and CommitPath one with Commit set.
	ReadPath, CommitPath string
	// Slots and LinkBytesPerSecond are the slots and the link rate of each engine.
	Slots              int
	LinkBytesPerSecond int64
}

// Secret returns the secret of a workspace's key.
func Secret(workspace string) string { return "sk-" + workspace + "-0123456789abcdef" }

// KeyID returns the ID of a workspace's key.
func KeyID(workspace string) string { return "key-" + workspace }

func model() configuration.Model {
	return configuration.Model{
		Adapters:               []string{"allergens", "pickup"},
		KVBytesPerToken:        80_000,
		PieceTokens:            2048,
		PrefillTokensPerSecond: 30_000,
		GapBaseMicros:          12_000,
		GapPerSlotMicros:       1_200,
		PrefillTTLMillis:       800,
		MaxOutputTokens:        1024,
		FirstTokenMillis:       820,
		GapMillis:              57,
		DeadlineMillis:         60_000,
	}
}

func plans(model string, adapters []string) map[string]configuration.Plan {
	return map[string]configuration.Plan{
		"large": {Models: []string{model}, Adapters: adapters, TokensPerSecond: 48_000, BurstTokens: 192_000, Weight: 3},
		"small": {Models: []string{model}, Adapters: adapters, TokensPerSecond: 16_000, BurstTokens: 96_000, Weight: 1},
	}
}

// Partilha returns the layout of a surplus food marketplace: 6 VMs in 4 data centres, 12 engines
// and 4 marketplace replicas.
func Partilha() Layout {
	m := model()
	return Layout{
		Name:   "partilha",
		Region: "pt-centro",
		DataCentres: []DataCentre{
			{Name: "lisboa-a", VMs: 2, Prefill: 1, Decode: 2, Services: 1},
			{Name: "lisboa-b", VMs: 2, Prefill: 1, Decode: 2, Services: 1},
			{Name: "porto-a", VMs: 1, Prefill: 1, Decode: 2, Services: 1},
			{Name: "coimbra-a", VMs: 1, Prefill: 1, Decode: 2, Services: 1},
		},
		OneWayDelay: time.Millisecond,
		Workspaces: []Workspace{
			{"banco-alimentar", "large"},
			{"rede-escolar", "large"},
			{"padaria-norte", "small"},
			{"cozinha-sol", "small"},
			{"horta-urbana", "small"},
		},
		Plans:          plans("summary", m.Adapters),
		ModelName:      "summary",
		Model:          m,
		Service:        "marketplace",
		ReadPath:       "/marketplace/lots/42",
		CommitPath:     "/marketplace/reservations",
		ServiceLatency: 5 * time.Millisecond,
		Routes: map[string]configuration.Route{
			"lots": {
				Method: "GET", Path: "/marketplace/lots/", Service: "marketplace", Idempotent: true,
				Class: configuration.Urgent, CostTokens: 1, DeadlineMillis: 5000,
			},
			"news": {
				Method: "GET", Path: "/marketplace/news", Service: "marketplace", Idempotent: true, AllowAnonymous: true,
				Class: configuration.MayWait, CostTokens: 1, DeadlineMillis: 5000,
			},
			"reserve": {
				Method: "POST", Path: "/marketplace/reservations", Service: "marketplace", Commit: true,
				Class: configuration.Urgent, CostTokens: 1, DeadlineMillis: 10000,
			},
		},
		Slots:              20,
		LinkBytesPerSecond: 4_000_000_000,
	}
}

// Hinokuni returns the layout of a ground station booking service: 6 VMs in 3 data centres, 20
// engines with the model digest and 3 booking replicas.
func Hinokuni() Layout {
	l := Partilha()
	l.Name, l.Region, l.OneWayDelay = "hinokuni", "kyushu", 1500*time.Microsecond
	l.DataCentres = []DataCentre{
		{Name: "fukuoka-dc", VMs: 2, Prefill: 3, Decode: 4, Services: 1},
		{Name: "kumamoto-dc", VMs: 2, Prefill: 2, Decode: 5, Services: 1},
		{Name: "kagoshima-dc", VMs: 2, Prefill: 2, Decode: 4, Services: 1},
	}
	l.Workspaces = []Workspace{
		{"hakata-sky", "large"},
		{"aso-orbit", "large"},
		{"sakurajima-link", "small"},
		{"yatsushiro-pass", "small"},
		{"itoshima-dish", "small"},
	}
	l.ModelName = "digest"
	l.Plans = plans(l.ModelName, l.Model.Adapters)
	l.Service = "booking"
	l.ReadPath, l.CommitPath = "/booking/passes/7", "/booking/commits"
	l.Routes = map[string]configuration.Route{
		"availability": {
			Method: "GET", Path: "/booking/passes/", Service: "booking", Idempotent: true,
			Class: configuration.Urgent, CostTokens: 1, DeadlineMillis: 3000,
		},
		"commit": {
			Method: "POST", Path: "/booking/commits", Service: "booking", Commit: true,
			Class: configuration.Urgent, CostTokens: 1, DeadlineMillis: 10000,
		},
	}
	return l
}

// Layouts returns all layouts by name.
func Layouts() map[string]Layout {
	return map[string]Layout{"partilha": Partilha(), "hinokuni": Hinokuni()}
}

// document returns the layout's configuration without endpoints.
func (l Layout) document() configuration.Document {
	doc := configuration.Document{
		DataCentres: make(map[string]configuration.DataCentre),
		Plans:       l.Plans,
		Workspaces:  make(map[string]configuration.Workspace),
		Models:      map[string]configuration.Model{l.ModelName: l.Model},
		Routes:      l.Routes,
		Endpoints:   make(map[string]configuration.Endpoint),
	}
	for _, dc := range l.DataCentres {
		doc.DataCentres[dc.Name] = configuration.DataCentre{Region: l.Region, ShareWeight: max(dc.VMs, 1)}
	}
	for _, w := range l.Workspaces {
		doc.Workspaces[w.Name] = configuration.Workspace{Plan: w.Plan}
	}
	return doc
}

// keyEntry and keyList define the JSON format of the platform object named "keys".
type keyEntry struct {
	Hash      keys.Hash `json:"hash"`
	Workspace string    `json:"workspace"`
	Withdrawn bool      `json:"withdrawn"`
}

type keyList struct {
	Keys map[string]keyEntry `json:"keys"`
}

func (l Layout) keys() keyList {
	out := keyList{Keys: make(map[string]keyEntry)}
	for _, w := range l.Workspaces {
		out.Keys[KeyID(w.Name)] = keyEntry{Hash: keys.HashSecret(Secret(w.Name)), Workspace: w.Name}
	}
	return out
}

// vmNames returns the names of the data centre's VMs.
func (dc DataCentre) vmNames() []string {
	var out []string
	for i := range dc.VMs {
		out = append(out, fmt.Sprintf("%s-vm%d", dc.Name, i+1))
	}
	return out
}
