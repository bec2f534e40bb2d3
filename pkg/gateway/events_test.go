package gateway

import (
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func readEvents(t *testing.T, r io.Reader) (ids []string, all, incomplete string) {
	t.Helper()
	reader := newEventReader(r, 1<<20, noLimit.NewLease())
	for {
		events, err := reader.next()
		for _, e := range events {
			ids = append(ids, e.id)
			all += string(e.raw)
		}
		if err == io.EOF {
			return ids, all, string(reader.incomplete())
		}
		require.NoError(t, err)
	}
}

func TestEventsAreSplitWhereverReadsEnd(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nweight-versions: 2\nid:2\ndata: b\n\nid: 3\r\ndata: c\r\n\r\nid: 4\nda"
	for _, r := range []io.Reader{strings.NewReader(stream), iotest.OneByteReader(strings.NewReader(stream))} {
		ids, all, rest := readEvents(t, r)
		assert.Equal(t, []string{"1", "2", "3"}, ids)
		assert.Equal(t, stream[:len(stream)-len("id: 4\nda")], all)
		assert.Equal(t, "id: 4\nda", rest)
	}
}

func TestEventsLargerThanTheBufferPass(t *testing.T) {
	stream := "id: 1\ndata: " + strings.Repeat("x", 5*eventBufferBytes) + "\n\n"
	_, all, rest := readEvents(t, strings.NewReader(stream))
	assert.Equal(t, stream, all)
	assert.Empty(t, rest)
}

func TestNewerComparesNumbers(t *testing.T) {
	assert.True(t, newer("10", "9"))
	assert.False(t, newer("9", "10"))
	assert.False(t, newer("9", "9"))
	assert.True(t, newer("1", ""))
	assert.False(t, newer("x", "x"))
}

func FuzzEventReader(f *testing.F) {
	f.Add("id: 1\n\n")
	f.Fuzz(func(t *testing.T, s string) {
		_, all, rest := readEvents(t, strings.NewReader(s))
		assert.Equal(t, s, all+rest)
	})
}
