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
	ID        ident.RequestID     `msgpack:"id"`
	Workspace string              `msgpack:"w"`
	Weight    int                 `msgpack:"wt"`
	Model     string              `msgpack:"m"`
	Adapter   string              `msgpack:"a,omitempty"`
	Class     configuration.Class `msgpack:"c"`
	// PromptTokens and MaxOutputTokens size the work.
	PromptTokens    int64    `msgpack:"p"`
	MaxOutputTokens int64    `msgpack:"o"`
	Pieces          []uint64 `msgpack:"h,omitempty"`
	// DataCentre is where the caller's VM is.
	DataCentre string `msgpack:"d"`
	// FirstToken and Gap are the latency targets still left; Deadline bounds the whole call.
	FirstToken time.Duration `msgpack:"ft"`
	Gap        time.Duration `msgpack:"g"`
	Deadline   time.Duration `msgpack:"dl"`
	// Avoid names endpoints that failed this request already.
	Avoid []string `msgpack:"av,omitempty"`
	// NeedPrefill is false when a kept prefill result is decoded elsewhere.
	NeedPrefill bool `msgpack:"np"`
	// Kept names the prefill endpoint that keeps the result when NeedPrefill is false.
	Kept string `msgpack:"k,omitempty"`
}

// Assignment is the owner's decision: names of endpoints in the configuration.
type Assignment struct {
	Prefill string `msgpack:"p,omitempty"`
	Decode  string `msgpack:"d"`
	// CachedTokens is the part of the prompt expected in the prefill endpoint's cache.
	CachedTokens int64 `msgpack:"c"`
	// ExpectedFirstToken is the predicted time from now to the first token.
	ExpectedFirstToken time.Duration `msgpack:"e"`
	// Reason says what decided, for the log line.
	Reason string `msgpack:"r"`
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

// ServicePicker chooses replicas of plain services.
type ServicePicker interface {
	// Pick gives the name of an endpoint of the service not in avoid, and a function to be
	// called once with the outcome. It fails as Overloaded or Unavailable.
	Pick(service string, avoid []string) (endpoint string, done func(err error, took time.Duration), err error)
}
