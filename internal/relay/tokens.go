package relay

import "github.com/cespare/xxhash/v2"

// bytesPerToken is the typical number of bytes per token in English text. The router estimates
// token counts with it.
const bytesPerToken = 4

// countTokens estimates the number of tokens in text; the result is at least 1.
func countTokens(text string) int64 {
	return max(1, int64(len(text)+bytesPerToken-1)/bytesPerToken)
}

// prefixPieceHashes hashes each complete piece of pieceTokens tokens together with all preceding
// text. The workspace is part of the hashes so that prefix caches never leak information between
// workspaces.
func prefixPieceHashes(workspace, model, text string, pieceTokens int64) []uint64 {
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
