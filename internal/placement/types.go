// Package placement decides which endpoints serve a request, and when.
//
// The endpoints of one model in one region form a cell. Each cell is owned by the live VM of
// the region with the highest rendezvous rank for it. The owner maintains exact counts of
// slots, prefill queues and links as well as a weighted fair queue, so that VMs do not overload
// an engine between its load reports. If two VMs temporarily own the same cell, only the
// quality of placements suffers, because each engine enforces its own slot limit.
package placement

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Request holds the properties of one admitted request that a placement decision depends on.
type Request struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID        ident.RequestID
	Workspace string
	Weight    int
	Model     string
	Adapter   string
	Class     configuration.Class
	// PromptTokens and MaxOutputTokens are the size of the request.
	PromptTokens    int64
	MaxOutputTokens int64
	Pieces          []uint64
	// DataCentre is the data centre of the caller's VM.
	DataCentre string
	// FirstToken and Gap are the remaining latency targets; Deadline bounds the whole call.
	FirstToken time.Duration
	Gap        time.Duration
	Deadline   time.Duration
	// Avoid lists the endpoints that already failed this request.
	Avoid []string
	// NeedPrefill is false if an existing prefill result is to be decoded at another endpoint.
	NeedPrefill bool
	// PrefillHolder is the prefill endpoint that keeps the result if NeedPrefill is false.
	PrefillHolder string
}

// Assignment is the owner's decision. Endpoints are named as in the configuration.
type Assignment struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Prefill string
	Decode  string
	// CachedTokens is the part of the prompt that is expected in the prefill endpoint's cache.
	CachedTokens int64
	// ExpectedFirstToken is the predicted time to the first token, counted from the decision.
	ExpectedFirstToken time.Duration
	// Reason describes the basis of the decision, for the log.
	Reason string
}

// Stage is the progress of a placed request.
type Stage uint8

// The stages of a placed request, in order.
const (
	// StagePrefillDone: the prefill has ended and its result is kept at the prefill endpoint.
	StagePrefillDone Stage = iota + 1
	// StageTransferDone: the link is free and the first token is imminent.
	StageTransferDone
	// StageReleased: the decode slot is free and the request is finished.
	StageReleased
)

// Lease represents the claims of one placed request, held by the caller's VM.
type Lease interface {
	// Assignment returns the current assignment.
	Assignment() Assignment
	// Reassign abandons the current assignment after the endpoint failed has failed, and
	// requests another. needPrefill is false if the prefill result is still kept and only the
	// decode is to be moved.
	Reassign(ctx context.Context, failed string, needPrefill bool) (Assignment, error)
	// Progress reports a completed stage to the owner.
	Progress(stage Stage)
	// Release frees all claims. It is idempotent.
	Release()
}

// Placer places requests. Place waits in the owner's queue while the targets can be met. It
// fails as TargetMissed, Overloaded or Unavailable, always before anything was run.
type Placer interface {
	Place(ctx context.Context, r Request) (Lease, error)
}
