// Package answer defines the output of the simulated engines. Every token is a
// function of the request text and the token's position, so that a client can
// compute the expected output and a checker can find missing or repeated tokens.
package answer

import (
	"encoding/binary"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/engine"
)

// Output lengths, in tokens, of requests without max_tokens. They are at least
// minDefaultTokens and less than minDefaultTokens + defaultTokensRange.
const (
	minDefaultTokens   = 16
	defaultTokensRange = 112
)

const (
	alphabet        = "abcdefghijklmnopqrstuvwxyz"
	lettersPerToken = 5
)

// Seed is the hash of a request's text from which its output tokens are computed.
type Seed uint64

// SeedOf returns the seed of a request's messages.
func SeedOf(messages []engine.Message) Seed {
	return Seed(xxhash.Sum64(engine.PromptText(messages)))
}

// Token returns the output token at a position, with a leading space.
func Token(seed Seed, index int) string {
	var key [16]byte
	binary.LittleEndian.PutUint64(key[:8], uint64(seed))
	binary.LittleEndian.PutUint64(key[8:], uint64(index))
	h := xxhash.Sum64(key[:])
	var token [lettersPerToken + 1]byte
	token[0] = ' '
	for i := 1; i < len(token); i++ {
		token[i] = alphabet[h%uint64(len(alphabet))]
		h /= uint64(len(alphabet))
	}
	return string(token[:])
}

// Length returns the number of output tokens of a request. A maxTokens of 0 means
// that the request sets none.
func Length(seed Seed, maxTokens int) int {
	if maxTokens > 0 {
		return maxTokens
	}
	return minDefaultTokens + int(uint64(seed)%defaultTokensRange)
}

// Text returns the output tokens from position from up to but not including to.
func Text(seed Seed, from, to int) string {
	var b strings.Builder
	for i := from; i < to; i++ {
		b.WriteString(Token(seed, i))
	}
	return b.String()
}

// Expected returns the complete output for a request.
func Expected(r *engine.ChatRequest) string {
	seed := SeedOf(r.Messages)
	return Text(seed, 0, Length(seed, r.MaxTokens))
}
