package engine

import (
	"bytes"
	"encoding/json"
	"strconv"
	"unicode/utf8"
)

// chunkTemplate matches chunks that differ from an earlier, fully decoded chunk
// of the same stream only in the text and the token index. Nearly all chunks of
// a stream do, and comparing bytes takes a twentieth of the time of decoding
// JSON and no allocation.
type chunkTemplate struct {
	// head ends with the opening quote of the text, middle starts with its
	// closing quote and ends before the index, and tail is the rest.
	head, middle, tail []byte
}

var (
	contentField = []byte(`"content":"`)
	indexField   = []byte(`"token_index":`)
)

// learnTemplate builds the template of a chunk. It reports false for chunks with
// an unsupported layout. The template is verified with a synthetic chunk, so
// that a field of the same name elsewhere is not mistaken for the text or the
// index.
func learnTemplate(data []byte) (chunkTemplate, bool) {
	var t chunkTemplate
	if bytes.Count(data, contentField) != 1 || bytes.Count(data, indexField) != 1 {
		return t, false
	}
	text := bytes.Index(data, contentField) + len(contentField)
	index := bytes.Index(data, indexField) + len(indexField)
	length := unescapedLength(data[text:])
	if length < 0 || text+length > index {
		return t, false
	}
	digits := digitsLength(data[index:])
	if digits == 0 {
		return t, false
	}
	t.head = bytes.Clone(data[:text])
	t.middle = bytes.Clone(data[text+length : index])
	t.tail = bytes.Clone(data[index+digits:])
	return t, t.verify()
}

// verify reports whether a synthetic chunk built from the template decodes to the
// text and the index that were inserted.
func (t *chunkTemplate) verify() bool {
	const text, index = "probe", 7_654_321
	made := bytes.Join([][]byte{t.head, []byte(text), t.middle, strconv.AppendInt(nil, index, 10), t.tail}, nil)
	var chunk streamChunk
	if json.Unmarshal(made, &chunk) != nil || len(chunk.Choices) != 1 || chunk.Index == nil {
		return false
	}
	choice := chunk.Choices[0]
	return choice.Delta.Content == text && *chunk.Index == index &&
		choice.Delta.Role == "" && choice.FinishReason == nil && chunk.Usage == nil
}

// match returns the text and the index of a chunk that matches the template.
func (t *chunkTemplate) match(data []byte) (text []byte, index int, ok bool) {
	if len(t.head) == 0 || !bytes.HasPrefix(data, t.head) {
		return nil, 0, false
	}
	rest := data[len(t.head):]
	length := unescapedLength(rest)
	// A chunk with an empty text may carry no token.
	if length <= 0 {
		return nil, 0, false
	}
	text, rest = rest[:length], rest[length:]
	if !bytes.HasPrefix(rest, t.middle) {
		return nil, 0, false
	}
	rest = rest[len(t.middle):]
	digits := digitsLength(rest)
	if digits == 0 || digits > maxIndexDigits || digits > 1 && rest[0] == '0' || !bytes.Equal(rest[digits:], t.tail) {
		return nil, 0, false
	}
	for _, c := range rest[:digits] {
		index = index*10 + int(c-'0')
	}
	return text, index, true
}

// maxIndexDigits prevents overflow of the index.
const maxIndexDigits = 9

// unescapedLength returns the length of a JSON string up to its closing quote if
// it is valid UTF-8 without escapes, else -1.
func unescapedLength(data []byte) int {
	end := bytes.IndexByte(data, '"')
	if end < 0 {
		return -1
	}
	for _, c := range data[:end] {
		if c == '\\' || c < ' ' {
			return -1
		}
	}
	if !utf8.Valid(data[:end]) {
		return -1
	}
	return end
}

// digitsLength returns the number of leading decimal digits.
func digitsLength(data []byte) int {
	n := 0
	for n < len(data) && data[n] >= '0' && data[n] <= '9' {
		n++
	}
	return n
}
