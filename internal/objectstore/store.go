// Package objectstore is the client interface to the platform: a store of versioned objects with
// conditional updates and watches, and an eventually consistent list of VMs.
package objectstore

import (
	"context"
	"net/netip"
)

// MaxValueBytes is the maximum size of an object's value.
const MaxValueBytes = 1 << 20

// Object is a named value with a version. Each write increases the version.
type Object struct {
	Name    string `json:"name"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// Store is the object API. Each call counts towards the platform's rate limits; a Watch counts as one
// call, however long it waits. Errors are of kind NotFound, Conflict, TooLarge, Overloaded, Malformed
// (invalid name or version), Unavailable, Timeout, Cancelled (ctx was cancelled) or Internal (the request
// could not be encoded). A write that failed with Unavailable, Timeout or Cancelled may still have taken
// effect.
type Store interface {
	// Get returns an object.
	Get(ctx context.Context, name string) (Object, error)
	// Put writes value if the object's version equals ifVersion, where 0 means that the object must
	// not exist. It returns the new version, or a Conflict error if the version differs.
	Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error)
	// Watch waits until the object's version is higher than after and returns the object. It returns
	// a Timeout error if the object does not change within the platform's maximum wait.
	Watch(ctx context.Context, name string, after uint64) (Object, error)
	// List returns the names and versions of the objects whose names start with prefix.
	List(ctx context.Context, prefix string) ([]Object, error)
}

// VM is an entry of the platform's list of VMs. The list lags behind the actual state.
type VM struct {
	Name       string         `json:"name"`
	DataCentre string         `json:"data_centre"`
	Address    netip.AddrPort `json:"address"`
	// Leaving is true once the platform has started to remove the VM.
	Leaving bool `json:"leaving"`
}

// VMLister reads the platform's list of VMs. A VM that has been removed from the list never reappears in it.
type VMLister interface {
	VMs(ctx context.Context) ([]VM, error)
}
