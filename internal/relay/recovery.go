package relay

import "time"

// stage is where an attempt failed.
type stage string

const (
	stagePrefill  stage = "prefill"
	stageTransfer stage = "transfer"
	stageDecode   stage = "decode"
)

// step is what follows a failed attempt.
type step string

const (
	// stepDecodeElsewhere decodes the kept prefill result at another endpoint.
	stepDecodeElsewhere step = "decode_elsewhere"
	// stepPrefillAgain starts over at another pair, from the tokens given so far.
	stepPrefillAgain step = "prefill_again"
	// stepGiveUp ends the request with an error.
	stepGiveUp step = "give_up"
)

// maxAttempts bounds the tries at one request.
const maxAttempts = 4

// failure is what recovery looks at.
type failure struct {
	stage stage
	// attempts made so far.
	attempts int
	// keptFor is the time that the prefill's result is still kept.
	keptFor time.Duration
	// left is the time to the deadline.
	left time.Duration
	// gone: the prefill endpoint no longer keeps the result, whatever keptFor says.
	gone bool
	// permanent: no other attempt can help, as the caller is gone.
	permanent bool
}

// transferMargin is the part of the keep time needed to begin another transfer.
const transferMargin = 50 * time.Millisecond

// nextStep decides how a failed attempt goes on.
func nextStep(f failure) step {
	switch {
	case f.permanent, f.left <= 0, f.attempts >= maxAttempts:
		return stepGiveUp
	case f.stage == stageTransfer && !f.gone && f.keptFor > transferMargin:
		return stepDecodeElsewhere
	default:
		return stepPrefillAgain
	}
}
