package relay

import "time"

// stage is the stage at which an attempt failed.
type stage string

const (
	stagePrefill  stage = "prefill"
	stageTransfer stage = "transfer"
	stageDecode   stage = "decode"
)

// recoveryAction is the action taken after a failed attempt.
type recoveryAction string

const (
	// actionDecodeElsewhere decodes the retained prefill result at another endpoint.
	actionDecodeElsewhere recoveryAction = "decode_elsewhere"
	// actionPrefillAgain repeats the prefill and resumes after the tokens already delivered.
	actionPrefillAgain recoveryAction = "prefill_again"
	// actionGiveUp ends the request with an error.
	actionGiveUp recoveryAction = "give_up"
)

// maxAttempts bounds the attempts of one request.
const maxAttempts = 4

// failure is the input of the recovery decision.
type failure struct {
	stage stage
	// attempts is the number of attempts made so far.
	attempts int
	// prefillTTL is the time until the prefill result expires.
	prefillTTL time.Duration
	// timeLeft is the time until the deadline.
	timeLeft time.Duration
	// prefillLost is set if the prefill endpoint no longer has the result, regardless of prefillTTL.
	prefillLost bool
	// permanent is set if another attempt cannot help because the caller is gone or the call's
	// context has ended.
	permanent bool
}

// minTransferTTL is the minimum remaining prefillTTL for starting another transfer.
const minTransferTTL = 50 * time.Millisecond

// nextAction selects the action after a failed attempt.
func nextAction(f failure) recoveryAction {
	switch {
	case f.permanent, f.timeLeft <= 0, f.attempts >= maxAttempts:
		return actionGiveUp
	case f.stage == stageTransfer && !f.prefillLost && f.prefillTTL > minTransferTTL:
		return actionDecodeElsewhere
	default:
		return actionPrefillAgain
	}
}
