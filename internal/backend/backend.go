// Package backend defines the protocol-independent interface for sending calls to endpoints.
package backend

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"time"

	"github.com/fulmartide/fulmartide/internal/ending"
	"github.com/fulmartide/fulmartide/internal/traffic"
)

// Request is one attempt to run a call at an endpoint.
type Request struct {
	Call     *traffic.Call
	Endpoint traffic.Endpoint
	// Via is the VM through which the call is sent, nil for directly.
	Via *traffic.Via
	// Timeout is the time that the endpoint has to respond.
	Timeout time.Duration
	// Source identifies the KV cache to fetch for the prompt; nil if there is none.
	Source *Handle
	// LastEventID is the ID of the last event that the caller has received; the endpoint resumes the
	// stream after it. Empty means from the start.
	LastEventID string
	// Continues is set if the call continues a stream, so that the software version of the endpoint's entry has to run it.
	Continues bool
	// Priority orders calls at the endpoint; 0 is the highest.
	Priority int
	// Ranked is set if the endpoint is to be told the priority: the call is a generation, and the calls to its service
	// have different ones.
	Ranked bool
	// LastLook is called right before the request is sent. It may be nil.
	LastLook LastLook
}

// LastLook is the last decision about a request, right before its first byte is written: after it was decided to send the
// request any time may have passed. left is the time that the endpoint has to respond, 0 if the request names none. If err is not nil the
// request is not sent, and err is wrapped in the error of the send.
type LastLook func() (left time.Duration, err error)

// Handle identifies the KV cache of a prompt that a prefill endpoint retains.
type Handle struct {
	Endpoint traffic.Endpoint
	// Via is the VM through which the handle is freed, nil for directly.
	Via *traffic.Via
	// Address is where a decode endpoint fetches the KV cache.
	Address netip.AddrPort
	Name    string
	// Load is the load that the prefill endpoint reported with the handle, nil if it did not.
	Load *Load
	// Regions are the regions in which the handle is handled, nil for any.
	Regions []string
	// LastLook is called right before the request to free the handle is sent. It may be nil.
	LastLook LastLook
}

// Load is the load that an endpoint reports about itself.
type Load struct {
	// Running, Waiting and Slots are -1 if the endpoint does not say.
	Running, Waiting, Slots int
	// Slowness is how long work takes at the endpoint now, as a multiple of the usual time; 0 if it does not say.
	Slowness float64
}

// Response is an endpoint's response. Reading the body returns io.EOF only if the body is complete.
type Response struct {
	Status int
	Header map[string][]string
	Body   io.ReadCloser
	// Length is the length of the body, -1 if unknown.
	Length int64
	// Delimited is set if the endpoint marks the end of the body. Otherwise the body ends with the
	// connection, and a truncated one may look complete.
	Delimited bool
	// End returns, after the end of a body that is not delimited, what was found out about the endpoint, empty if nothing was
	// asked. It may be nil.
	End func() ending.Evidence
	// EventStream is set if the body is a series of events, each of which ends with an empty line.
	EventStream bool
	// Rejected is set if the endpoint states that it did not run the call and will not run it.
	Rejected bool
	// Load is nil if the endpoint does not report its load.
	Load *Load
	// Lifetime is nil if the response is known to come from the lifetime of the endpoint's entry.
	Lifetime LifetimeEvidence
}

// EndEvidence returns what was found out about the endpoint at the end of a body, empty if nothing was asked.
func (r *Response) EndEvidence() ending.Evidence {
	if r == nil || r.End == nil {
		return ""
	}
	return r.End()
}

// Notice is what an endpoint says about itself in any response.
type Notice struct {
	// Leaving is set if the endpoint takes no new calls any more.
	Leaving bool
	// Pause is how long this VM is to send the endpoint no requests, 0 if it does not say so.
	Pause time.Duration
	// Limited is set if the endpoint names a rate limit: it takes RateLimit requests a second from all VMs together,
	// until a later response names another limit or none.
	Limited   bool
	RateLimit float64
	// SaysCold is set if the endpoint says whether it is cold, for Cold from now on; 0 if it is not.
	SaysCold bool
	Cold     time.Duration
	// Took is the time from sending the request to the response.
	Took time.Duration
}

// Client sends calls to endpoints.
type Client interface {
	// Run sends a call and returns the response once its header has arrived. The caller must close
	// the body.
	Run(ctx context.Context, r Request) (*Response, error)
	// Prefill computes the KV cache of a prompt and retains it at the endpoint. If it fails after a response, the
	// handle holds the load that the endpoint reported.
	Prefill(ctx context.Context, r Request) (Handle, error)
	// Free releases a KV cache that no endpoint will fetch.
	Free(ctx context.Context, h Handle) error
	// Connect opens a connection to an endpoint and keeps it for a later request. The error wraps
	// syscall.ECONNREFUSED if the endpoint refused it, as one does whose process has ended.
	Connect(ctx context.Context, e traffic.Endpoint) error
}

// ErrHeldBack is wrapped in errors of calls that were not sent although there may be a path to the endpoint: it is not known to be the
// one that the call is for.
var ErrHeldBack = errors.New("not sent to this endpoint")

// SendError reports a call that failed without a usable response.
type SendError struct {
	// Sent is set if any byte of the call may have reached the endpoint.
	Sent bool
	// Rejected is set if the endpoint responded that it did not run the call.
	Rejected bool
	Err      error
}

func (e *SendError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// MayHaveRun reports whether the endpoint may have started to run the call. It returns true for any
// error that is not a SendError.
func MayHaveRun(err error) bool {
	var s *SendError
	return !errors.As(err, &s) || s.Sent && !s.Rejected
}

// MayHaveArrived reports whether the call may have reached the endpoint, whether it was run or not.
// It returns true for any error that is not a SendError.
func MayHaveArrived(err error) bool {
	var s *SendError
	return !errors.As(err, &s) || s.Sent
}

// WasRejected reports whether the endpoint stated that it did not run the call.
func WasRejected(err error) bool {
	var s *SendError
	return errors.As(err, &s) && s.Rejected
}
