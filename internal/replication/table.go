// Package replication replicates a versioned platform object to every VM. Two VMs of each data
// centre watch the platform and push each new version to the other VMs of their data centre as a
// delta. Versions in heartbeats reveal missed pushes, which are repaired by pulls. A VM never goes
// back to a lower version.
//
// It is harmless if two VMs believe that they are the first bridge: both read the same versioned
// object, a VM ignores pushes of versions that it already has, and no decision depends on which
// VM pushed.
package replication

import (
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/fulmartide/fulmartide/internal/fault"
)

// Table is one version of an object, parsed into entries. It is immutable.
type Table struct {
	// Version is the platform's version of the object; 0 means that the object does not exist.
	Version uint64
	// Entries maps the keys of the entries to their values.
	Entries map[string]string
	// Sum is a checksum of all entries that does not depend on their order.
	Sum uint64
}

// NewTable returns a Table with its checksum.
func NewTable(version uint64, entries map[string]string) *Table {
	return &Table{Version: version, Entries: entries, Sum: sumOf(entries)}
}

func sumOf(entries map[string]string) uint64 {
	var sum uint64
	for k, v := range entries {
		sum ^= entryHash(k, v)
	}
	return sum
}

func entryHash(key, value string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(value)
	return d.Sum64()
}

// Delta is the change from one version of a Table to a later one.
type Delta struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	// Base and Version are the versions before and after the change.
	Base, Version uint64
	// Set holds added and changed entries, Delete the keys of removed ones.
	Set    map[string]string
	Delete []string
	// Sum is the checksum of the resulting table.
	Sum uint64
}

// Diff returns the delta from a to b. A nil a stands for an object that does not exist.
func Diff(a, b *Table) Delta {
	if a == nil {
		a = &Table{}
	}
	d := Delta{Base: a.Version, Version: b.Version, Set: map[string]string{}, Sum: b.Sum}
	for k, v := range b.Entries {
		if old, ok := a.Entries[k]; !ok || old != v {
			d.Set[k] = v
		}
	}
	for k := range a.Entries {
		if _, ok := b.Entries[k]; !ok {
			d.Delete = append(d.Delete, k)
		}
	}
	slices.Sort(d.Delete)
	return d
}

// Apply returns the table that results from d. It fails as Conflict if the base of d is not this
// version, and as Malformed if the result does not have the checksum stated in d.
func (t *Table) Apply(d Delta) (*Table, error) {
	if t == nil {
		t = &Table{}
	}
	if d.Base != t.Version || d.Version <= d.Base {
		return nil, fault.New(fault.Conflict, "pull the missing versions", "base version of the delta differs")
	}
	entries := make(map[string]string, len(t.Entries)+len(d.Set))
	maps.Copy(entries, t.Entries)
	sum := t.Sum
	for _, k := range d.Delete {
		if v, ok := entries[k]; ok {
			sum ^= entryHash(k, v)
			delete(entries, k)
		}
	}
	for k, v := range d.Set {
		if old, ok := entries[k]; ok {
			sum ^= entryHash(k, old)
		}
		sum ^= entryHash(k, v)
		entries[k] = v
	}
	if sum != d.Sum {
		return nil, fault.New(fault.Malformed, "pull the whole object", "checksum mismatch after applying delta")
	}
	return &Table{Version: d.Version, Entries: entries, Sum: sum}, nil
}

// compose returns a delta with the combined effect of a followed by b.
func compose(a, b Delta) Delta {
	out := Delta{Base: a.Base, Version: b.Version, Set: maps.Clone(a.Set), Sum: b.Sum}
	if out.Set == nil {
		out.Set = map[string]string{}
	}
	deleted := map[string]bool{}
	for _, k := range a.Delete {
		deleted[k] = true
	}
	for _, k := range b.Delete {
		delete(out.Set, k)
		deleted[k] = true
	}
	for k, v := range b.Set {
		out.Set[k] = v
	}
	for k := range out.Set {
		delete(deleted, k)
	}
	out.Delete = slices.Sorted(maps.Keys(deleted))
	return out
}
