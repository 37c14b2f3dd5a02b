package prefixcache

import "github.com/fulmartide/fulmartide/internal/traffic"

// Link is a part of a prompt together with all parts before it.
type Link struct {
	// hash identifies the part and all parts before it, in order.
	hash uint64
	// tokens is the length of the part alone.
	tokens int64
}

// MaxLinks is the maximum number of parts of a prompt that are looked up.
const MaxLinks = 16

// Chain is the parts of a prompt, in order.
type Chain []Link

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// NewChain returns the chain of a prompt's parts. It is nil for fewer than two parts, because a single part is the
// call's own.
func NewChain(parts []traffic.PromptPart) Chain {
	if len(parts) < 2 {
		return nil
	}
	parts = parts[:min(len(parts), MaxLinks)]
	c := make(Chain, len(parts))
	hash := uint64(fnvOffset)
	for i, p := range parts {
		for _, b := range []byte(p.ID) {
			hash = (hash ^ uint64(b)) * fnvPrime
		}
		// The separator and the length keep "ab","c" and "a","bc" apart, and a part from a longer one of the same id.
		hash = (hash ^ 0xff) * fnvPrime
		hash = (hash ^ uint64(p.Tokens)) * fnvPrime
		c[i] = Link{hash: mix(hash), tokens: p.Tokens}
	}
	return c
}

// mix spreads the entropy of a hash over all of its bits, as FNV leaves the high bits of short inputs alike.
func mix(h uint64) uint64 {
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	h = (h ^ h>>32) * 0xd6e8feb86659fd93
	return h ^ h>>32
}

// Tokens returns the length of the first parts.
func (c Chain) Tokens(parts int) int64 {
	sum := int64(0)
	for _, l := range c[:parts] {
		sum += l.tokens
	}
	return sum
}
