package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A prompt that contains {tag:T} gets the same response as the prompt T, which lets a client
// compute the expected response. {stop:N} ends the response after N tokens.
var (
	tagPattern  = regexp.MustCompile(`\{tag:([^}]*)\}`)
	stopPattern = regexp.MustCompile(`\{stop:(\d+)\}`)
)

// Prompt is what an engine needs to generate or continue a response.
type Prompt struct {
	Hash uint64 `json:"hash"`
	// Stop is the length of the complete response in tokens; 0 means no stop before the limit.
	Stop int64 `json:"stop"`
}

// ParsePrompt parses the tag and stop directives of a prompt.
func ParsePrompt(text string) Prompt {
	var p Prompt
	if m := stopPattern.FindStringSubmatch(text); m != nil {
		p.Stop, _ = strconv.ParseInt(m[1], 10, 64)
	}
	if m := tagPattern.FindStringSubmatch(text); m != nil {
		text = m[1]
	}
	p.Hash = xxhash.Sum64String(text)
	return p
}

// Token returns token i of the response to a prompt with this hash.
func Token(hash uint64, i int64) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], hash)
	binary.LittleEndian.PutUint64(raw[8:], uint64(i))
	return fmt.Sprintf("t%d-%x ", i, xxhash.Sum64(raw[:]))
}

// TokenForTag returns token i of the response to a prompt that contains {tag:TAG}.
func TokenForTag(tag string, i int64) string { return Token(xxhash.Sum64String(tag), i) }

// responseLength returns the length of a response in tokens and its finish reason.
func (p Prompt) responseLength(maxTokens int64) (int64, string) {
	if p.Stop > 0 && p.Stop < maxTokens {
		return p.Stop, "stop"
	}
	return maxTokens, "length"
}
