package placement

import "time"

// Upper bounds of the numeric fields of a request. Larger values received from another VM are
// clamped to them so that sums over claims cannot overflow.
const (
	maxRequestTokens   = 1 << 24
	maxRequestWeight   = 1 << 16
	maxRequestDuration = time.Hour
)

// clampRequest returns r with its numeric fields clamped to the bounds.
func clampRequest(r Request) Request {
	r.PromptTokens = clamp(r.PromptTokens, 0, maxRequestTokens)
	r.MaxOutputTokens = clamp(r.MaxOutputTokens, 0, maxRequestTokens)
	r.Weight = clamp(r.Weight, 1, maxRequestWeight)
	r.FirstToken = clamp(r.FirstToken, 0, maxRequestDuration)
	r.Gap = clamp(r.Gap, 0, maxRequestDuration)
	r.Deadline = clamp(r.Deadline, 0, maxRequestDuration)
	return r
}

func clamp[N ~int | ~int64](n, low, high N) N { return min(high, max(low, n)) }
