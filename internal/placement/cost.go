package placement

import (
	"time"

	"github.com/fulmartide/fulmartide/internal/configuration"
)

// modelCost predicts what one model's engines need for a request.
type modelCost struct {
	kvBytesPerToken int64
	pieceTokens     int64
	prefillRate     int64
	gapBase         time.Duration
	gapPerSlot      time.Duration
	keep            time.Duration
}

// defaultPieceTokens is the size of a prefix piece where the configuration gives none.
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
		keep:            time.Duration(m.KeepMillis) * time.Millisecond,
	}
}

// prefillTime is the time to compute tokens on an idle endpoint.
func (m modelCost) prefillTime(tokens int64) time.Duration {
	return ratio(tokens, m.prefillRate)
}

// transferTime is the time to move the KV cache of tokens over a link of rate bytes a second.
func (m modelCost) transferTime(tokens, rate int64) time.Duration {
	return ratio(tokens*m.kvBytesPerToken, rate)
}

// gap is the time between tokens when n requests are decoded together.
func (m modelCost) gap(n int) time.Duration {
	return m.gapBase + time.Duration(n)*m.gapPerSlot
}

// batchLimit is the most requests decoded together with a gap within target.
func (m modelCost) batchLimit(target time.Duration) int {
	if target <= 0 || m.gapPerSlot <= 0 {
		return maxBatch
	}
	if target < m.gapBase {
		return 0
	}
	return min(maxBatch, int((target-m.gapBase)/m.gapPerSlot))
}

// maxBatch bounds a batch where nothing else does.
const maxBatch = 1 << 16

// ratio is amount divided by rate per second; a rate of 0 takes no time.
func ratio(amount, rate int64) time.Duration {
	if rate <= 0 || amount <= 0 {
		return 0
	}
	seconds := float64(amount) / float64(rate)
	return time.Duration(seconds * float64(time.Second))
}
