package engine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// BytesPerToken is the average number of prompt bytes per token that hosts
// assume until the engine reports the token count.
const BytesPerToken = 4

// EstimateTokens estimates the number of tokens of a text from its length in bytes.
func EstimateTokens(bytes int) int {
	return (bytes + BytesPerToken - 1) / BytesPerToken
}

// PromptText serialises the messages for PrefixHashes.
func PromptText(messages []Message) []byte {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + 2
	}
	text := make([]byte, 0, size)
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, '\n')
		text = append(text, m.Content...)
		text = append(text, '\n')
	}
	return text
}

// PrefixHashes returns one hash for each full block of the prompt. Each hash
// covers the scope and the whole prefix up to the end of its block. The scope
// holds the organisation, model, adapter and version, so that no organisation
// shares cache entries with another.
func PrefixHashes(scope string, prompt []byte) []uint64 {
	const blockBytes = BlockTokens * BytesPerToken
	previous := xxhash.Sum64String(scope)
	var hashes []uint64
	for len(prompt) >= blockBytes {
		digest := xxhash.New()
		var seed [8]byte
		binary.LittleEndian.PutUint64(seed[:], previous)
		_, _ = digest.Write(seed[:])
		_, _ = digest.Write(prompt[:blockBytes])
		previous = digest.Sum64()
		hashes = append(hashes, previous)
		prompt = prompt[blockBytes:]
	}
	return hashes
}

// CacheScope returns the scope of a request for PrefixHashes.
func CacheScope(organisation string, r *ChatRequest) string {
	return organisation + "\x00" + r.Model + "\x00" + r.Adapter + "\x00" + r.Version
}
