package configuration

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/fulmartide/fulmartide/internal/fault"
	"github.com/fulmartide/fulmartide/internal/objectstore"
	"github.com/fulmartide/fulmartide/internal/replication"
)

func validDocument() Document {
	return Normalize(Document{
		DataCentres: map[string]DataCentre{"lisboa-a": {Region: "pt-centro"}},
		Plans:       map[string]Plan{"gold": {Models: []string{"m"}, Adapters: []string{"ad"}, TokensPerSecond: 10, BurstTokens: 100}},
		Workspaces:  map[string]Workspace{"w": {Plan: "gold"}},
		Models: map[string]Model{"m": {
			Adapters: []string{"ad"}, KVBytesPerToken: 1, PrefillTokensPerSecond: 1, GapBaseMicros: 1, PrefillTTLMillis: 1, FirstTokenMillis: 1, GapMillis: 1,
		}},
		Routes: map[string]Route{"lots": {Method: "GET", Path: "/lots", Service: "market", Idempotent: true}},
		Endpoints: map[string]Endpoint{
			"p": {Role: RolePrefill, DataCentre: "lisboa-a", Address: "10.0.0.1:1", Model: "m", Slots: 1, LinkBytesPerSecond: 1},
			"s": {Role: RoleService, DataCentre: "lisboa-a", Address: "10.0.0.2:1", Service: "market", Slots: 1},
		},
	})
}

// invalidEdits lists edits that each make validDocument invalid, with the object and field that the
// validation error must name.
var invalidEdits = []struct {
	object, field string
	apply         func(*Document)
}{
	{"data_centres/lisboa-a", "region", func(d *Document) { d.DataCentres["lisboa-a"] = DataCentre{ShareWeight: 1} }},
	{"data_centres/lisboa-a", "share_weight", func(d *Document) { d.DataCentres["lisboa-a"] = DataCentre{Region: "r", ShareWeight: -1} }},
	{"plans/gold", "models", func(d *Document) { edit(d.Plans, "gold", func(p *Plan) { p.Models = []string{"x"} }) }},
	{"plans/gold", "adapters", func(d *Document) { edit(d.Plans, "gold", func(p *Plan) { p.Adapters = []string{"x"} }) }},
	{"plans/gold", "tokens_per_second", func(d *Document) { edit(d.Plans, "gold", func(p *Plan) { p.TokensPerSecond = -1 }) }},
	{"plans/gold", "burst_tokens", func(d *Document) { edit(d.Plans, "gold", func(p *Plan) { p.BurstTokens = 0 }) }},
	{"plans/gold", "weight", func(d *Document) { edit(d.Plans, "gold", func(p *Plan) { p.Weight = -1 }) }},
	{"workspaces/w", "plan", func(d *Document) { edit(d.Workspaces, "w", func(w *Workspace) { w.Plan = "x" }) }},
	{"workspaces/w", "key_unconfirmed_seconds", func(d *Document) { edit(d.Workspaces, "w", func(w *Workspace) { w.KeyUnconfirmedSeconds = -1 }) }},
	{"models/m", "kv_bytes_per_token", func(d *Document) { edit(d.Models, "m", func(m *Model) { m.KVBytesPerToken = 0 }) }},
	{"models/m", "keep_millis", func(d *Document) { edit(d.Models, "m", func(m *Model) { m.PrefillTTLMillis = 0 }) }},
	{"models/m", "gap_per_slot_micros", func(d *Document) { edit(d.Models, "m", func(m *Model) { m.GapPerSlotMicros = -1 }) }},
	{"routes/lots", "method", func(d *Document) { edit(d.Routes, "lots", func(r *Route) { r.Method = "FETCH" }) }},
	{"routes/lots", "path", func(d *Document) { edit(d.Routes, "lots", func(r *Route) { r.Path = "lots" }) }},
	{"routes/lots", "service", func(d *Document) { edit(d.Routes, "lots", func(r *Route) { r.Service = "" }) }},
	{"routes/lots", "commit", func(d *Document) { edit(d.Routes, "lots", func(r *Route) { r.Commit = true }) }},
	{"routes/lots", "class", func(d *Document) { edit(d.Routes, "lots", func(r *Route) { r.Class = "x" }) }},
	{"routes/lots2", "path", func(d *Document) { d.Routes["lots2"] = d.Routes["lots"] }},
	{"endpoints/p", "data_centre", func(d *Document) { edit(d.Endpoints, "p", func(e *Endpoint) { e.DataCentre = "x" }) }},
	{"endpoints/p", "address", func(d *Document) { edit(d.Endpoints, "p", func(e *Endpoint) { e.Address = "host:1" }) }},
	{"endpoints/s", "address", func(d *Document) { edit(d.Endpoints, "s", func(e *Endpoint) { e.Address = "10.0.0.1:1" }) }},
	{"endpoints/p", "slots", func(d *Document) { edit(d.Endpoints, "p", func(e *Endpoint) { e.Slots = 0 }) }},
	{"endpoints/p", "model", func(d *Document) { edit(d.Endpoints, "p", func(e *Endpoint) { e.Model = "x" }) }},
	{"endpoints/p", "link_bytes_per_second", func(d *Document) { edit(d.Endpoints, "p", func(e *Endpoint) { e.LinkBytesPerSecond = 0 }) }},
	{"endpoints/s", "service", func(d *Document) { edit(d.Endpoints, "s", func(e *Endpoint) { e.Service = "" }) }},
	{"endpoints/s", "role", func(d *Document) { edit(d.Endpoints, "s", func(e *Endpoint) { e.Role = "x" }) }},
	{"workspaces/a b", "name", func(d *Document) { d.Workspaces["a b"] = Workspace{Plan: "gold"} }},
}

func edit[T any](objects map[string]T, name string, change func(*T)) {
	object := objects[name]
	change(&object)
	objects[name] = object
}

func TestCheckReportsObjectFieldAndRemedy(t *testing.T) {
	if violations := Check(validDocument(), objectstore.MaxValueBytes); len(violations) != 0 {
		t.Fatalf("Check rejects a valid document: %v", violations)
	}
	for _, invalid := range invalidEdits {
		doc := validDocument()
		invalid.apply(&doc)
		found := slices.ContainsFunc(Check(doc, objectstore.MaxValueBytes), func(f Violation) bool {
			return f.Object == invalid.object && f.Field == invalid.field && f.Message != "" && f.Remedy != ""
		})
		if !found {
			t.Errorf("no validation error for %s %s: %v", invalid.object, invalid.field, Check(doc, objectstore.MaxValueBytes))
		}
	}
	if violations := Check(validDocument(), 100); len(violations) != 1 || violations[0].Object != "document" {
		t.Errorf("with a size limit of 100 bytes Check returns %v", violations)
	}
}

func TestCheckErrorListsAllViolations(t *testing.T) {
	doc := validDocument()
	for _, object := range []string{"data_centres/lisboa-a", "plans/gold", "workspaces/w", "models/m", "routes/lots", "endpoints/p"} {
		i := slices.IndexFunc(invalidEdits, func(invalid struct {
			object, field string
			apply         func(*Document)
		},
		) bool {
			return invalid.object == object
		})
		invalidEdits[i].apply(&doc)
	}
	err := checkError(Check(doc, objectstore.MaxValueBytes))
	if !fault.Is(err, fault.Malformed) {
		t.Fatalf("got %v, want Malformed", err)
	}
	for _, object := range []string{"data_centres/lisboa-a", "plans/gold", "workspaces/w", "models/m", "routes/lots", "endpoints/p"} {
		if !strings.Contains(err.Error(), object) {
			t.Errorf("%s is missing in %v", object, err)
		}
	}
}

func TestEntriesAndNormalizeRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		doc := validDocument()
		for _, invalid := range rapid.SliceOfN(rapid.SampledFrom(invalidEdits), 0, 5).Draw(t, "edits") {
			invalid.apply(&doc)
		}
		doc = Normalize(doc)
		if again := Normalize(doc); !reflect.DeepEqual(doc, again) {
			t.Fatal("Normalize is not idempotent")
		}
		entries, err := Entries(doc)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := FromEntries(entries)
		if err != nil || !reflect.DeepEqual(doc, decoded) {
			t.Fatalf("error %v: got %+v, want %+v", err, decoded, doc)
		}
		changes, err := Diff(validDocument(), doc)
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range changes {
			if c.Before == c.After || c.Before == "" && c.After == "" {
				t.Fatalf("Diff lists an unchanged object: %+v", c)
			}
		}
	})
}

// TestLargeDocumentFitsOneObject checks the sizes of the document and of a delta with 2,000
// endpoints, 680 workspaces and 24 models.
func TestLargeDocumentFitsOneObject(t *testing.T) {
	doc := validDocument()
	for i := range 24 {
		doc.Models[fmt.Sprintf("model-%02d", i)] = doc.Models["m"]
	}
	for i := range 680 {
		doc.Workspaces[fmt.Sprintf("workspace-%04d", i)] = Workspace{Plan: "gold", KeyUnconfirmedSeconds: 600}
	}
	for i := range 2000 {
		doc.Endpoints[fmt.Sprintf("kagoshima-dc-decode-%04d", i)] = Endpoint{
			Role: RoleDecode, DataCentre: "lisboa-a", Address: fmt.Sprintf("10.1.%d.%d:8000", i/250, i%250), Model: "m", Slots: 20, LinkBytesPerSecond: 12_500_000_000, ChecksFencingToken: true,
		}
	}
	raw, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	if violations := Check(doc, objectstore.MaxValueBytes); len(violations) != 0 {
		t.Fatal(violations)
	}
	before, err := Entries(doc)
	if err != nil {
		t.Fatal(err)
	}
	edit(doc.Endpoints, "kagoshima-dc-decode-0007", func(e *Endpoint) { e.Leaving = true })
	after, err := Entries(doc)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := replication.EncodeDelta(replication.Diff(replication.NewTable(1, before), replication.NewTable(2, after)))
	if err != nil {
		t.Fatal(err)
	}
	full, err := replication.EncodeTable(replication.NewTable(2, after))
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("document: %d bytes, delta of one endpoint: %d bytes, full table: %d bytes", len(raw), len(delta), len(full))
	if len(delta) > 600 {
		t.Errorf("the delta of one endpoint is %d bytes, want at most 600", len(delta))
	}
}
