// Package placement decides which endpoints serve a request, and when.
//
// The endpoints of one model in one region form a cell. Each cell has an owner: the live VM
// of the region with the highest rendezvous rank for it. The owner keeps exact counts of
// slots, prefill queues and links and a weighted fair queue, so that VMs do not overfill an
// engine between its reports. Two owners at once cost quality only: an engine's own slot
// limit still holds.
package placement

import (
	"context"
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
	"github.com/fulmartide/fulmartide/internal/ident"
)

// Request is what a placement decision needs to know of one admitted request.
type Request struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	ID        ident.RequestID
	Workspace string
	Weight    int
	Model     string
	Adapter   string
	Class     configuration.Class
	// PromptTokens and MaxOutputTokens size the work.
	PromptTokens    int64
	MaxOutputTokens int64
	Pieces          []uint64
	// DataCentre is where the caller's VM is.
	DataCentre string
	// FirstToken and Gap are the latency targets still left; Deadline bounds the whole call.
	FirstToken time.Duration
	Gap        time.Duration
	Deadline   time.Duration
	// Avoid names endpoints that failed this request already.
	Avoid []string
	// NeedPrefill is false when a kept prefill result is decoded elsewhere.
	NeedPrefill bool
	// Kept names the prefill endpoint that keeps the result when NeedPrefill is false.
	Kept string
}

// Assignment is the owner's decision: names of endpoints in the configuration.
type Assignment struct {
	//lint:ignore U1000 the codec reads this field's tag
	_msgpack struct{} `msgpack:",as_array"`

	Prefill string
	Decode  string
	// CachedTokens is the part of the prompt expected in the prefill endpoint's cache.
	CachedTokens int64
	// ExpectedFirstToken is the predicted time from now to the first token.
	ExpectedFirstToken time.Duration
	// Reason says what decided, for the log line.
	Reason string
}

// Stage is how far a placed request has come.
type Stage uint8

// The stages of a placed request, in order.
const (
	// StagePrefillDone: the prefill's slot is free, the result is kept.
	StagePrefillDone Stage = iota + 1
	// StageTransferDone: the link is free and the first token is near.
	StageTransferDone
	// StageReleased: the decode slot is free; the request is over.
	StageReleased
)

// Lease is the caller VM's hold on an assignment.
type Lease interface {
	// Assignment gives the present assignment.
	Assignment() Assignment
	// Reassign gives up the present assignment after failed failed, and asks for another.
	// needPrefill is false when the prefill result is still kept and only the decode moves.
	Reassign(ctx context.Context, failed string, needPrefill bool) (Assignment, error)
	// Progress tells the owner of a stage that was passed.
	Progress(stage Stage)
	// Release frees all claims. It is idempotent.
	Release()
}

// Placer places requests. Place waits in the owner's queue while the targets can be met and
// fails as TargetMissed, Overloaded or Unavailable, always before anything was run.
type Placer interface {
	Place(ctx context.Context, r Request) (Lease, error)
}
