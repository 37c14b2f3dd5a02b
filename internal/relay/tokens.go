package relay

import "github.com/cespare/xxhash/v2"

// bytesPerToken is the usual ratio of English text to tokens; the router counts tokens by it.
const bytesPerToken = 4

// countTokens gives the number of tokens that a text counts as, at least 1.
func countTokens(text string) int64 {
	return max(1, int64(len(text)+bytesPerToken-1)/bytesPerToken)
}

// prefixPieces hashes each whole piece of pieceTokens tokens together with all text before it.
// The workspace salts the hashes, so that prefix caches never tell one workspace of another.
func prefixPieces(workspace, model, text string, pieceTokens int64) []uint64 {
	if pieceTokens <= 0 {
		return nil
	}
	size := int(pieceTokens) * bytesPerToken
	digest := xxhash.New()
	_, _ = digest.WriteString(workspace + "\x00" + model + "\x00")
	var out []uint64
	for len(text) >= size {
		_, _ = digest.WriteString(text[:size])
		out = append(out, digest.Sum64())
		text = text[size:]
	}
	return out
}
