package configuration

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// The sections of a document, as they begin the names of its objects.
const (
	SectionDataCentres = "data_centres"
	SectionPlans       = "plans"
	SectionWorkspaces  = "workspaces"
	SectionModels      = "models"
	SectionRoutes      = "routes"
	SectionEndpoints   = "endpoints"
)

// Entries gives the document as one JSON value for each object, keyed by section/name. It is
// the form in which changes are compared and spread.
func Entries(doc Document) (map[string]string, error) {
	out := map[string]string{}
	err := firstError(
		addEntries(out, SectionDataCentres, doc.DataCentres),
		addEntries(out, SectionPlans, doc.Plans),
		addEntries(out, SectionWorkspaces, doc.Workspaces),
		addEntries(out, SectionModels, doc.Models),
		addEntries(out, SectionRoutes, doc.Routes),
		addEntries(out, SectionEndpoints, doc.Endpoints),
	)
	return out, err
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func addEntries[T any](out map[string]string, section string, objects map[string]T) error {
	for name, object := range objects {
		raw, err := json.Marshal(object)
		if err != nil {
			return fault.Wrap(err, fault.Malformed, "remove values that JSON cannot hold", section+"/"+name)
		}
		out[section+"/"+name] = string(raw)
	}
	return nil
}

// FromEntries builds the document that Entries took apart.
func FromEntries(entries map[string]string) (Document, error) {
	doc := Normalize(Document{})
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if err := doc.setEntry(key, entries[key]); err != nil {
			return Document{}, err
		}
	}
	return doc, nil
}

func (d *Document) setEntry(key, raw string) error {
	section, name, _ := strings.Cut(key, "/")
	switch section {
	case SectionDataCentres:
		return decodeEntry(d.DataCentres, name, raw)
	case SectionPlans:
		return decodeEntry(d.Plans, name, raw)
	case SectionWorkspaces:
		return decodeEntry(d.Workspaces, name, raw)
	case SectionModels:
		return decodeEntry(d.Models, name, raw)
	case SectionRoutes:
		return decodeEntry(d.Routes, name, raw)
	case SectionEndpoints:
		return decodeEntry(d.Endpoints, name, raw)
	}
	// A later release may add sections; this one does without them.
	return nil
}

func decodeEntry[T any](objects map[string]T, name, raw string) error {
	var object T
	if err := json.Unmarshal([]byte(raw), &object); err != nil {
		return fault.Wrap(err, fault.Malformed, "apply a document that this release can read", "object "+name)
	}
	objects[name] = object
	return nil
}

// Change is one object that differs between two documents.
type Change struct {
	// Object is section/name.
	Object string `json:"object"`
	// Before and After are the object's JSON; empty where it does not exist.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff lists the objects that differ between two documents, sorted by name.
func Diff(a, b Document) ([]Change, error) {
	before, err := Entries(a)
	if err != nil {
		return nil, err
	}
	after, err := Entries(b)
	if err != nil {
		return nil, err
	}
	var out []Change
	for object, raw := range before {
		if after[object] != raw {
			out = append(out, Change{object, raw, after[object]})
		}
	}
	for object, raw := range after {
		if _, ok := before[object]; !ok {
			out = append(out, Change{Object: object, After: raw})
		}
	}
	slices.SortFunc(out, func(x, y Change) int { return strings.Compare(x.Object, y.Object) })
	return out, nil
}
