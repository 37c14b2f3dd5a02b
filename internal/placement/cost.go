package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
)

// modelCost predicts the time that engines of one model need for a request.
type modelCost struct {
	kvBytesPerToken int64
	// pieceTokens is the size of a block of the prefix cache, called a piece in the configuration.
	pieceTokens int64
	prefillRate int64
	gapBase     time.Duration
	gapPerSlot  time.Duration
	// resultTTL is how long an endpoint retains the result of a prefill.
	resultTTL time.Duration
}

// defaultPieceTokens is the size of a block of the prefix cache if the configuration does not set
// one.
const defaultPieceTokens = 2048

func newModelCost(m configuration.Model) modelCost {
	piece := m.PieceTokens
	if piece <= 0 {
		piece = defaultPieceTokens
	}
	return modelCost{
		kvBytesPerToken: m.KVBytesPerToken,
		pieceTokens:     piece,
		prefillRate:     m.PrefillTokensPerSecond,
		gapBase:         time.Duration(m.GapBaseMicros) * time.Microsecond,
		gapPerSlot:      time.Duration(m.GapPerSlotMicros) * time.Microsecond,
		resultTTL:       time.Duration(m.PrefillTTLMillis) * time.Millisecond,
	}
}

// prefillTime returns the time to compute a prompt of the given length on an idle endpoint.
func (m modelCost) prefillTime(tokens int64) time.Duration {
	return durationAtRate(tokens, m.prefillRate)
}

// transferTime returns the time to move the KV cache of the given number of tokens over a link
// with the given rate in bytes per second.
func (m modelCost) transferTime(tokens, rate int64) time.Duration {
	return durationAtRate(tokens*m.kvBytesPerToken, rate)
}

// gap returns the inter-token time when n requests are decoded in one batch.
func (m modelCost) gap(n int) time.Duration {
	return m.gapBase + time.Duration(n)*m.gapPerSlot
}

// batchLimit returns the maximum batch size whose gap does not exceed target, at most maxBatch. A
// target of 0 means no target.
func (m modelCost) batchLimit(target time.Duration) int {
	if target <= 0 || m.gapPerSlot <= 0 {
		return maxBatch
	}
	if target < m.gapBase {
		return 0
	}
	return min(maxBatch, int((target-m.gapBase)/m.gapPerSlot))
}

// maxBatch limits the batch size where no other limit applies.
const maxBatch = 1 << 16

// durationAtRate returns the time that amount takes at rate per second; a rate of 0 means
// unlimited.
func durationAtRate(amount, rate int64) time.Duration {
	if rate <= 0 || amount <= 0 {
		return 0
	}
	seconds := float64(amount) / float64(rate)
	return time.Duration(seconds * float64(time.Second))
}
