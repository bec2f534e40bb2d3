package upstream

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// invalidStatuses are status lines of responses that are not valid.
var invalidStatuses = []string{
	"000 X", "007 X", "099 X", "600 X", "999 X", "000", "+20 X", "-20 X", "20 X", "2000 X", "0x2 X", "abc X", "", " ",
}

// Guards against passing on a status that net/http cannot write, and against taking it for
// a valid response.
func TestResponseWithAnInvalidStatusIsAnError(t *testing.T) {
	for _, status := range invalidStatuses {
		t.Run(status, func(t *testing.T) {
			address := startBackend(t, "HTTP/1.1 "+status+"\r\nContent-Length: 2\r\n\r\nhi", okResponse)
			p := NewPool(DefaultSettings())
			conn, err := p.Get(t.Context(), address, false)
			require.NoError(t, err)
			_, sent, err := conn.Send(t.Context(), newRequest(t, address))
			assert.ErrorIs(t, err, ErrInvalid)
			assert.True(t, sent, "the request may have run")
			assert.Zero(t, len(p.idle[address]))
		})
	}
}

// Guards against waiting for a further response after a status below 200 that comes with a
// body, as an interim response never does.
func TestInterimStatusWithABodyIsAnError(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 199 X\r\nContent-Length: 2\r\n\r\nhi", "HTTP/1.1 199 X\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhi\r\n0\r\n\r\n"} {
		address := startBackend(t, head, okResponse)
		p := NewPool(DefaultSettings())
		conn, err := p.Get(t.Context(), address, false)
		require.NoError(t, err)
		began := time.Now()
		go func() { time.Sleep(2 * time.Second); conn.Close() }()
		_, _, err = conn.Send(t.Context(), newRequest(t, address))
		assert.Error(t, err)
		assert.Less(t, time.Since(began), time.Second)
	}
}

// Guards against rejecting interim responses and the statuses at the ends of the valid
// range.
func TestValidStatusesPass(t *testing.T) {
	for _, status := range []int{200, 299, 404, 503, 599} {
		interim := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 199 X\r\n\r\nHTTP/1.1 103 X\r\nContent-Length: 0\r\n\r\n"
		address := startBackend(t, fmt.Sprintf("%sHTTP/1.1 %d X\r\nContent-Length: 2\r\n\r\nhi", interim, status))
		resp, _ := send(t, NewPool(DefaultSettings()), address)
		assert.Equal(t, status, resp.StatusCode)
		readAndRelease(t, resp)
	}
}

// Guards against taking a status line that is cut short by the end of its connection, as in
// a crash of the server, for an invalid response.
func TestCutStatusLineIsNoInvalidResponse(t *testing.T) {
	const line = "HTTP/1.1 200 OK"
	for n := range len(line) {
		address := startBackend(t, line[:n])
		p := NewPool(DefaultSettings())
		conn, err := p.Get(t.Context(), address, false)
		require.NoError(t, err)
		_, _, err = conn.Send(t.Context(), newRequest(t, address))
		assert.Error(t, err)
		assert.NotErrorIs(t, err, ErrInvalid, line[:n])
	}
}
