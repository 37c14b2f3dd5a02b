package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Violation is one validation error of a document.
type Violation struct {
	// Object is section/name, such as plans/gold.
	Object string `json:"object"`
	// Field is the object's field, or empty if the error concerns the whole object.
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String formats the validation error on one line.
func (f Violation) String() string {
	return fmt.Sprintf("%s: %s: %s (%s)", f.Object, f.Field, f.Message, f.Remedy)
}

// Check returns all validation errors of a normalized document, by section and object name.
// maxBytes bounds the size of the document's JSON.
func Check(doc Document, maxBytes int) []Violation {
	c := &checker{doc: doc}
	c.checkSize(maxBytes)
	c.checkDataCentres()
	c.checkPlans()
	c.checkWorkspaces()
	c.checkModels()
	c.checkRoutes()
	c.checkEndpoints()
	return c.violations
}

// checkError joins all validation errors into one Malformed error; it returns nil if there are none.
func checkError(violations []Violation) error {
	if len(violations) == 0 {
		return nil
	}
	lines := make([]string, len(violations))
	for i, f := range violations {
		lines[i] = f.String()
	}
	return fault.New(fault.Malformed, "correct all errors listed and apply the document again", strings.Join(lines, "; "))
}

type checker struct {
	doc        Document
	violations []Violation
	object     string
}

func (c *checker) add(violated bool, field, message, remedy string) {
	if violated {
		c.violations = append(c.violations, Violation{c.object, field, message, remedy})
	}
}

// forEachObject checks the names of a section's objects and calls visit for each, in order of name.
func forEachObject[T any](c *checker, section string, objects map[string]T, visit func(T)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		c.object = section + "/" + name
		c.add(!validName(name), "name",
			"empty, longer than 64 bytes or contains characters other than letters, digits, '-', '_' and '.'", "rename the object")
		visit(objects[name])
	}
}

const maxNameBytes = 64

func validName(name string) bool {
	if name == "" || len(name) > maxNameBytes {
		return false
	}
	return !strings.ContainsFunc(name, func(r rune) bool {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		return !letter && (r < '0' || r > '9') && !strings.ContainsRune("-_.", r)
	})
}

func (c *checker) checkSize(maxBytes int) {
	raw, err := json.Marshal(c.doc)
	c.object = "document"
	c.add(err != nil, "", "cannot be encoded as JSON", "remove values that JSON cannot represent")
	c.add(len(raw) > maxBytes, "", fmt.Sprintf("%d bytes exceed the limit of %d", len(raw), maxBytes), "remove unused objects or shorten names")
}

func (c *checker) checkDataCentres() {
	forEachObject(c, SectionDataCentres, c.doc.DataCentres, func(d DataCentre) {
		c.add(d.Region == "", "region", "missing", "name the data centre's region")
		c.add(d.ShareWeight < 1, "share_weight", "must be at least 1", "set 1 or more")
	})
}

func (c *checker) checkPlans() {
	forEachObject(c, SectionPlans, c.doc.Plans, func(p Plan) {
		for _, m := range p.Models {
			_, ok := c.doc.Models[m]
			c.add(!ok, "models", fmt.Sprintf("no model %q", m), "add the model or remove it from the plan")
		}
		for _, a := range p.Adapters {
			c.add(!c.hasAdapter(a), "adapters", fmt.Sprintf("no model has adapter %q", a), "add it to a model or remove it from the plan")
		}
		c.add(p.TokensPerSecond < 0, "tokens_per_second", "must be at least 0", "set a number of tokens per second, 0 or more")
		c.add(p.BurstTokens < 0, "burst_tokens", "must be at least 0", "set a number of tokens, 0 or more")
		c.add(p.TokensPerSecond > 0 && p.BurstTokens == 0, "burst_tokens", "0 admits no request at any rate",
			"set at least the tokens of the largest request")
		c.add(p.Weight < 1, "weight", "must be at least 1", "set 1 or more")
	})
}

func (c *checker) hasAdapter(adapter string) bool {
	for _, m := range c.doc.Models {
		if slices.Contains(m.Adapters, adapter) {
			return true
		}
	}
	return false
}

func (c *checker) checkWorkspaces() {
	forEachObject(c, SectionWorkspaces, c.doc.Workspaces, func(w Workspace) {
		_, ok := c.doc.Plans[w.Plan]
		c.add(!ok, "plan", fmt.Sprintf("no plan %q", w.Plan), "name one of the plans")
		c.add(w.KeyUnconfirmedSeconds < 0, "key_unconfirmed_seconds", "must be at least 0", "set a number of seconds, or 0 for no limit")
	})
}

func (c *checker) checkModels() {
	forEachObject(c, SectionModels, c.doc.Models, func(m Model) {
		for _, p := range []struct {
			field string
			value int64
		}{
			{"kv_bytes_per_token", m.KVBytesPerToken},
			{"piece_tokens", m.PieceTokens},
			{"prefill_tokens_per_second", m.PrefillTokensPerSecond},
			{"gap_base_micros", m.GapBaseMicros},
			{"keep_millis", m.PrefillTTLMillis},
			{"max_output_tokens", m.MaxOutputTokens},
			{"first_token_millis", m.FirstTokenMillis},
			{"gap_millis", m.GapMillis},
			{"deadline_millis", m.DeadlineMillis},
		} {
			c.add(p.value <= 0, p.field, "must be positive", "set a positive value")
		}
		c.add(m.GapPerSlotMicros < 0, "gap_per_slot_micros", "must be at least 0", "set a number of microseconds, 0 or more")
	})
}

func (c *checker) checkRoutes() {
	seen := map[string]string{}
	forEachObject(c, SectionRoutes, c.doc.Routes, func(r Route) {
		c.add(!slices.Contains(allowedMethods, r.Method), "method", fmt.Sprintf("%q is not a supported method", r.Method),
			"set one of "+strings.Join(allowedMethods, ", "))
		c.add(!strings.HasPrefix(r.Path, "/"), "path", "does not start with a slash", "write an absolute path")
		other, duplicate := seen[r.Method+" "+r.Path]
		c.add(duplicate, "path", "the same method and path as "+other, "remove one of the two routes")
		seen[r.Method+" "+r.Path] = c.object
		c.add(r.Service == "", "service", "missing", "name the service")
		c.add(r.Commit && r.Idempotent, "commit", "set together with idempotent", "commits are not retried: clear one of the two")
		c.add(r.Commit && r.AllowAnonymous, "open", "set together with commit", "a commit requires a workspace's key: clear one of the two")
		c.add(r.Class != Urgent && r.Class != MayWait, "class", fmt.Sprintf("%q is not a class", r.Class), "set urgent or may_wait")
		c.add(r.CostTokens < 0, "cost_tokens", "must be at least 0", "set a number of tokens, 0 or more")
		c.add(r.DeadlineMillis <= 0, "deadline_millis", "must be positive", "set a positive number of milliseconds")
	})
}

var allowedMethods = []string{"GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"}

func (c *checker) checkEndpoints() {
	seen := map[string]string{}
	forEachObject(c, SectionEndpoints, c.doc.Endpoints, func(e Endpoint) {
		_, ok := c.doc.DataCentres[e.DataCentre]
		c.add(!ok, "data_centre", fmt.Sprintf("no data centre %q", e.DataCentre), "name one of the data centres")
		_, err := netip.ParseAddrPort(e.Address)
		c.add(err != nil, "address", fmt.Sprintf("%q is not IP:port", e.Address), "write an IP address and a port; names are not looked up")
		other, duplicate := seen[e.Address]
		c.add(duplicate, "address", "the same address as "+other, "give each endpoint its own address")
		seen[e.Address] = c.object
		c.add(e.Slots < 1, "slots", "must be at least 1", "set the number of requests that it serves concurrently")
		c.checkEndpointRole(e)
	})
}

func (c *checker) checkEndpointRole(e Endpoint) {
	switch e.Role {
	case RolePrefill, RoleDecode:
		_, ok := c.doc.Models[e.Model]
		c.add(!ok, "model", fmt.Sprintf("no model %q", e.Model), "name one of the models")
		c.add(e.Service != "", "service", "set on an engine", "clear it")
		c.add(e.LinkBytesPerSecond <= 0, "link_bytes_per_second", "must be positive", "set the bandwidth of the endpoint's link")
	case RoleService:
		c.add(e.Service == "", "service", "missing", "name the service")
		c.add(e.Model != "", "model", "set on a plain service", "clear it")
	default:
		c.add(true, "role", fmt.Sprintf("%q is not a role", e.Role), "set prefill, decode or service")
	}
}
