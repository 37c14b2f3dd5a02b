package placement

import "time"

// Bounds of a request's numbers. What another VM sends beyond them is cut to them, so that no
// sum of claims overflows.
const (
	maxRequestTokens   = 1 << 24
	maxRequestWeight   = 1 << 16
	maxRequestDuration = time.Hour
)

// bounded gives r with its numbers within bounds.
func bounded(r Request) Request {
	r.PromptTokens = clamp(r.PromptTokens, 0, maxRequestTokens)
	r.MaxOutputTokens = clamp(r.MaxOutputTokens, 0, maxRequestTokens)
	r.Weight = clamp(r.Weight, 1, maxRequestWeight)
	r.FirstToken = clamp(r.FirstToken, 0, maxRequestDuration)
	r.Gap = clamp(r.Gap, 0, maxRequestDuration)
	r.Deadline = clamp(r.Deadline, 0, maxRequestDuration)
	return r
}

func clamp[N ~int | ~int64](n, least, most N) N { return min(most, max(least, n)) }
