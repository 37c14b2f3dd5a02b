package schedule

import (
	"math"
	"time"

	"github.com/fulmartide/fulmartide/internal/clock"
)

const (
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.3
	// errorWeight is the weight of an error response of the endpoint. It is lower, because some of
	// these errors are caused by the call.
	errorWeight = 0.15
	// failureHalfLife is the time in which the failure rate halves without further outcomes.
	failureHalfLife = 4 * time.Second
	// minEjection is the first ejection time of a dead endpoint. It doubles with each consecutive
	// failure, up to maxEjection.
	minEjection = 700 * time.Millisecond
	maxEjection = 5 * time.Second
	// MaxPause is the silence up to which an endpoint does not count as dead. A healthy one may pause for about a second.
	MaxPause = 1500 * time.Millisecond
)

// Outcome is the result of an attempt as far as it concerns the endpoint's health.
type Outcome uint8

// The outcomes.
const (
	// Succeeded means that the endpoint answered.
	Succeeded Outcome = iota
	// Errored means that the endpoint answered with an error of its own.
	Errored
	// Failed means that the endpoint aborted its answer.
	Failed
	// Dead means that the endpoint refused the connection or did not respond in time.
	Dead
	// ChangingStage means that the endpoint was ordered to change its stage and takes no work
	// meanwhile.
	ChangingStage
	// Leaving means that the endpoint said that it leaves.
	Leaving
)

// String returns the name used in logs.
func (o Outcome) String() string {
	if int(o) < len(outcomeNames) {
		return outcomeNames[o]
	}
	return "unknown"
}

var outcomeNames = [...]string{"good", "errored", "failed", "dead", "moving", "leaving"}

// health tracks the outcomes of calls to an endpoint.
type health struct {
	// failureRate is the failure rate at updatedAt.
	failureRate float64
	updatedAt   clock.Instant
	// ejections is the number of ejections since the last success.
	ejections    int
	ejectedUntil clock.Instant
	// silentSince is when the first request was sent that the endpoint left without an answer in time, 0 if it has answered
	// since. silentUntil is when the last one was given up.
	silentSince, silentUntil clock.Instant
}

func (h *health) rate(now clock.Instant) float64 {
	return h.failureRate * math.Exp2(-float64(now.Sub(h.updatedAt))/float64(failureHalfLife))
}

func (h *health) record(now clock.Instant, o Outcome) {
	rate := h.rate(now)
	h.updatedAt = now
	if o == Succeeded {
		h.failureRate, h.ejections, h.silentSince = rate*(1-failureWeight), 0, 0
		return
	}
	if o == Errored {
		h.silentSince = 0
	}
	weight := failureWeight
	if o == Errored {
		weight = errorWeight
	}
	h.failureRate = rate + (1-rate)*weight
	if o != Dead {
		return
	}
	if now.Before(h.ejectedUntil) {
		return // the same failure, observed by several calls
	}
	h.ejectedUntil = now.Add(min(maxEjection, minEjection<<min(h.ejections, 8)))
	h.ejections++
}

// silent records that the endpoint left a request without an answer since it was sent, and returns the outcome. Requests at
// longer intervals than MaxPause say nothing about the time between them.
func (h *health) silent(now, sent clock.Instant) Outcome {
	if h.silentSince == 0 || sent.Sub(h.silentUntil) > MaxPause {
		h.silentSince = sent
	}
	h.silentSince, h.silentUntil = min(h.silentSince, sent), now
	if now.Sub(h.silentSince) < MaxPause {
		return Failed
	}
	return Dead
}

// endEjection lets the endpoint be used again, because it was shown to be up.
func (h *health) endEjection() { h.ejections, h.ejectedUntil = 0, 0 }

// ejected reports whether the endpoint is currently ejected.
func (h *health) ejected(now clock.Instant) bool {
	return h.ejections > 0 && now.Before(h.ejectedUntil)
}
