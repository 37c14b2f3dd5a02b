// Package objectstore is the narrow port to the platform's services: its object API with
// versions, conditional updates and watches, and its lagging list of VMs.
package objectstore

import (
	"context"
	"net/netip"
)

// MaxValueBytes is the most that one object holds.
const MaxValueBytes = 1 << 20

// Object is one versioned value. Versions of an object only grow.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Store is the object API. Each call counts against the platform's rates, and a waiting
// Watch counts as one call. Errors are of kind NotFound, Conflict, TooLarge, Overloaded,
// Unavailable or Timeout; after Unavailable and Timeout a write may have taken effect.
type Store interface {
	// Get reads an object.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object's version is ifVersion; 0 means it must not exist.
	// It gives the new version. It fails as Conflict when the version differs.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
	// Watch waits until the object's version is above after, and gives the object. It fails
	// as Timeout when nothing changed in the time that the platform lets a watch wait.
	Watch(ctx context.Context, name string, after uint64) (Object, error)
	// List gives the names and versions of the objects whose names start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
}

// VM is one line of the platform's list. The list lags behind the truth.
type VM struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Address    netip.AddrPort `json:"address"`
	// Leaving is set once the platform has begun to take the VM away.
	Leaving bool `json:"leaving"`
}

// VMLister reads the platform's list of VMs. A VM that is not on it is gone for good.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
