// Package backend is the port through which calls reach endpoints, whatever protocol an
// endpoint speaks.
package backend

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Order is one send of a call to one endpoint.
type Order struct {
	Call     *traffic.Call
	Endpoint traffic.Endpoint
	// Within is the time that the endpoint may take.
	Within time.Duration
	// Source is where the prompt's memory is to be fetched, nil for nowhere.
	Source *Handle
	// After is the last event that need not be made again, empty for none.
	After string
	// Priority ranks the call at the endpoint; 0 goes first.
	Priority int
}

// Handle names the memory of a prompt that a prefill endpoint keeps.
type Handle struct {
	Endpoint traffic.Endpoint
	Address  netip.AddrPort
	Name     string
}

// Load is an endpoint's own account of its work.
type Load struct{ Running, Waiting, Slots int }

// Reply is an endpoint's answer. Its body ends with io.EOF only if it is whole.
type Reply struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
	// NotRun: the endpoint states that it did not run the call and never will.
	NotRun bool
	// Load is nil where the endpoint does not tell.
	Load *Load
}

// Port sends orders to endpoints.
type Port interface {
	// Run sends a call and gives the answer once its head has come. The caller closes the body.
	Run(ctx context.Context, o Order) (*Reply, error)
	// Prefill has a prompt read and kept.
	Prefill(ctx context.Context, o Order) (Handle, error)
	// Free drops memory that no endpoint will take.
	Free(ctx context.Context, h Handle) error
}

// SendError is a failure without an answer.
type SendError struct {
	// Sent: a byte of the call may have reached the endpoint.
	Sent bool
	// Rejected: the endpoint answered that it did not run the call.
	Rejected bool
	Err      error
}

func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap gives the cause.
func (e *SendError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the endpoint may have begun to work on the call.
func MayHaveRun(err error) bool {
	var s *SendError
	return !errors.As(err, &s) || s.Sent && !s.Rejected
}

// Arrived reports whether the call may have reached the endpoint, run or not.
func Arrived(err error) bool {
	var s *SendError
	return !errors.As(err, &s) || s.Sent
}

// WasRejected reports whether the endpoint itself said that it did not run the call.
func WasRejected(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.Rejected
}
