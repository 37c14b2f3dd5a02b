package engine

import (
	"encoding/binary"
	"fmt"
	"regexp"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// A prompt that holds {tag:T} is answered as if it were T alone, so that a client can know
// the answer; {stop:N} ends the answer after N tokens.
var (
	tagMark  = regexp.MustCompile(`\{tag:([^}]*)\}`)
	stopMark = regexp.MustCompile(`\{stop:(\d+)\}`)
)

// Prompt is what an engine needs to go on with an answer.
type Prompt struct {
	Hash uint64 `json:"hash"`
	// Stop is the length of the whole answer, 0 without an end of its own.
	Stop int64 `json:"stop"`
}

// ReadPrompt reads the marks of a prompt.
func ReadPrompt(text string) Prompt {
	var p Prompt
	if m := stopMark.FindStringSubmatch(text); m != nil {
		p.Stop, _ = strconv.ParseInt(m[1], 10, 64)
	}
	if m := tagMark.FindStringSubmatch(text); m != nil {
		text = m[1]
	}
	p.Hash = xxhash.Sum64String(text)
	return p
}

// Token gives token i of the answer to a prompt with this hash.
func Token(hash uint64, i int64) string {
	var raw [16]byte
	binary.LittleEndian.PutUint64(raw[:8], hash)
	binary.LittleEndian.PutUint64(raw[8:], uint64(i))
	return fmt.Sprintf("t%d-%x ", i, xxhash.Sum64(raw[:]))
}

// TokenOfTag gives token i of the answer to a prompt that holds {tag:TAG}.
func TokenOfTag(tag string, i int64) string { return Token(xxhash.Sum64String(tag), i) }

// length gives the length of an answer and how it ends.
func (p Prompt) length(maxTokens int64) (int64, string) {
	if p.Stop > 0 && p.Stop < maxTokens {
		return p.Stop, "stop"
	}
	return maxTokens, "length"
}
