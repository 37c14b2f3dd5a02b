package configuration

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Sections of a document; an object is named section/name.
const (
	SectionDataCentres = "data_centres"
	SectionPlans       = "plans"
	SectionWorkspaces  = "workspaces"
	SectionModels      = "models"
	SectionRoutes      = "routes"
	SectionEndpoints   = "endpoints"
)

// sections are the sections of a document.
var sections = []string{SectionDataCentres, SectionPlans, SectionWorkspaces, SectionModels, SectionRoutes, SectionEndpoints}

// Entries returns one JSON value for each object of the document, keyed by section/name. Documents
// are compared and replicated in this form.
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
			return fault.Wrap(err, fault.Malformed, "remove values that JSON cannot represent", section+"/"+name)
		}
		out[section+"/"+name] = string(raw)
	}
	return nil
}

// FromEntries is the inverse of Entries. If this build cannot read all objects, it returns an error and the document without
// them. What refers to such an object is refused, as if the object were not there.
func FromEntries(entries map[string]string) (Document, error) {
	doc, unreadable := fromEntries(entries)
	if len(unreadable) == 0 {
		return doc, nil
	}
	return doc, fault.New(fault.Malformed, "apply a document that this release can read",
		fmt.Sprintf("%d objects cannot be read, among them %s", len(unreadable), unreadable[0]))
}

// fromEntries also returns the names of the objects that it leaves out, in order.
func fromEntries(entries map[string]string) (doc Document, unreadable []string) {
	doc = Normalize(Document{})
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if err := doc.setEntry(key, entries[key]); err != nil {
			unreadable = append(unreadable, key)
		}
	}
	return doc, unreadable
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
	// Ignore sections that a later release added.
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
	// Before and After are the object's JSON in each document, or empty if the document lacks it.
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Diff returns the objects that differ between two documents, sorted by name.
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
