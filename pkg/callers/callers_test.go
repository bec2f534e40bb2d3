package callers

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// handle reads the body and then takes the time in the Take header to respond.
func handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/early" {
		http.Error(w, "too large", http.StatusRequestEntityTooLarge)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	span, err := time.ParseDuration(r.Header.Get("Take"))
	if err != nil {
		span = 0
	}
	if r.URL.Path == "/stream" {
		for i := range 3 {
			_, _ = fmt.Fprintf(w, "part %d ", i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(span / 3)
		}
	} else {
		time.Sleep(span)
	}
	_, _ = fmt.Fprintf(w, "got %d", len(body))
}

func newServer(t *testing.T) *Server {
	t.Helper()
	s, err := Listen("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(handle), ReadHeaderTimeout: 3 * time.Second}, nil)
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, s.Close()) })
	return s
}

func (s *Server) serveInBackground(t *testing.T) {
	t.Helper()
	go func() { assert.NoError(t, s.Serve()) }()
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return c
}

// readResponse reads one response and returns its body.
func readResponse(c net.Conn) (string, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

const getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// A busy host accepts connections later than the kernel does. Closing the listener
// without accepting them would reset them.
func TestStopServesConnectionsThatOnlyTheKernelHasAccepted(t *testing.T) {
	s := newServer(t)
	var conns []net.Conn
	for range 60 {
		c := dial(t, s)
		_, err := io.WriteString(c, getRequest)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	s.serveInBackground(t)
	left, err := s.Stop(time.Now().Add(5 * time.Second))
	require.NoError(t, err)
	assert.Zero(t, left)
	for i, c := range conns {
		body, err := readResponse(c)
		assert.NoError(t, err, i)
		assert.Equal(t, "got 0", body)
	}
	_, err = net.Dial("tcp", s.Address())
	assert.Error(t, err, "the listener is closed")
}

// net/http treats a keep-alive connection as idle until a request header is read
// completely, so that its Shutdown would close it while a request is arriving.
func TestStopServesRequestsOnKeepAliveConnections(t *testing.T) {
	s := newServer(t)
	s.serveInBackground(t)
	var conns []net.Conn
	for range 100 {
		c := dial(t, s)
		_, err := io.WriteString(c, getRequest)
		require.NoError(t, err)
		_, err = readResponse(c)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	time.Sleep(2 * keepAliveGrace)
	for i, c := range conns {
		text := getRequest
		if i%2 == 1 {
			text = getRequest[:12]
		}
		_, err := io.WriteString(c, text)
		require.NoError(t, err)
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		left, err := s.Stop(time.Now().Add(5 * time.Second))
		assert.NoError(t, err)
		assert.Zero(t, left)
	}()
	time.Sleep(50 * time.Millisecond)
	for i, c := range conns {
		if i%2 == 1 {
			_, err := io.WriteString(c, getRequest[12:])
			assert.NoError(t, err, i)
		}
		body, err := readResponse(c)
		assert.NoError(t, err, i)
		assert.Equal(t, "got 0", body)
	}
	<-stopped
}

func TestStopClosesIdleConnectionsSoon(t *testing.T) {
	s := newServer(t)
	s.serveInBackground(t)
	for i := range 20 {
		c := dial(t, s)
		if i%2 == 0 {
			_, err := io.WriteString(c, getRequest)
			require.NoError(t, err)
			_, err = readResponse(c)
			require.NoError(t, err)
		}
	}
	started := time.Now()
	left, err := s.Stop(started.Add(5 * time.Second))
	require.NoError(t, err)
	assert.Zero(t, left)
	assert.Less(t, time.Since(started), newConnGrace+500*time.Millisecond)
}

func TestResponseBeforeTheEndOfAnUploadArrives(t *testing.T) {
	s := newServer(t)
	s.serveInBackground(t)
	for range 20 {
		c := dial(t, s)
		const size = 4 << 20
		go func() {
			_, _ = fmt.Fprintf(c, "POST /early HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", size)
			_, _ = io.CopyN(c, rand.NewChaCha8([32]byte{}), size)
		}()
		body, err := readResponse(c)
		require.NoError(t, err)
		assert.Equal(t, "too large\n", body)
	}
}

func TestStopServesWhatHasArrivedOverTLS(t *testing.T) {
	authority := httptest.NewUnstartedServer(nil)
	authority.StartTLS()
	defer authority.Close()
	s, err := Listen("127.0.0.1:0", &http.Server{Handler: http.HandlerFunc(handle)}, func(l net.Listener) net.Listener {
		return tls.NewListener(l, &tls.Config{Certificates: authority.TLS.Certificates})
	})
	require.NoError(t, err)
	t.Cleanup(func() { assert.NoError(t, s.Close()) })
	s.serveInBackground(t)
	client := &tls.Config{RootCAs: authority.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"}
	var conns []net.Conn
	for range 100 {
		c := tls.Client(dial(t, s), client)
		_, err := io.WriteString(c, getRequest)
		require.NoError(t, err)
		_, err = readResponse(c)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	time.Sleep(2 * keepAliveGrace)
	for _, c := range conns {
		_, err := io.WriteString(c, getRequest[:12])
		require.NoError(t, err)
	}
	stopped := make(chan int)
	go func() {
		left, err := s.Stop(time.Now().Add(5 * time.Second))
		assert.NoError(t, err)
		stopped <- left
	}()
	time.Sleep(50 * time.Millisecond)
	for _, c := range conns {
		_, err := io.WriteString(c, getRequest[12:])
		assert.NoError(t, err)
		body, err := readResponse(c)
		assert.NoError(t, err)
		assert.Equal(t, "got 0", body)
	}
	assert.Zero(t, <-stopped)
}

func TestStopReturnsAtItsDeadline(t *testing.T) {
	s := newServer(t)
	s.serveInBackground(t)
	c := dial(t, s)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nTake: 3s\r\n\r\n")
	require.NoError(t, err)
	time.Sleep(50 * time.Millisecond)
	started := time.Now()
	left, err := s.Stop(started.Add(300 * time.Millisecond))
	require.NoError(t, err)
	assert.Equal(t, 1, left)
	assert.Less(t, time.Since(started), time.Second)
}

// testCaller sends one request in parts around the time of a stop.
type testCaller struct {
	keepAlive bool
	parts     []string
	want      string
	// delay is the time before the first part, pause the time between parts.
	delay, pause time.Duration
}

func randomCaller(r *rand.Rand) testCaller {
	c := testCaller{keepAlive: r.IntN(2) == 0, delay: time.Duration(r.IntN(30)) * time.Millisecond, pause: time.Duration(r.IntN(25)) * time.Millisecond}
	take := time.Duration(r.IntN(40)) * time.Millisecond
	path, body := "/", strings.Repeat("b", r.IntN(3)*3000)
	c.want = fmt.Sprintf("got %d", len(body))
	if r.IntN(3) == 0 {
		path, c.want = "/stream", "part 0 part 1 part 2 "+c.want
	}
	text := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nTake: %s\r\nContent-Length: %d\r\n\r\n%s", path, take, len(body), body)
	for len(text) > 0 {
		n := min(len(text), 1+r.IntN(len(text)))
		c.parts = append(c.parts, text[:n])
		text = text[n:]
	}
	return c
}

// send sends the request and returns the body of the response. required reports whether
// the first part was sent before the stop began, so that a response is required.
func (c *testCaller) send(conn net.Conn, stopping <-chan struct{}) (required bool, body string, err error) {
	time.Sleep(c.delay)
	for i, p := range c.parts {
		if i > 0 {
			time.Sleep(c.pause)
		}
		if _, err = io.WriteString(conn, p); err != nil {
			return required, "", err
		}
		if i == 0 {
			select {
			case <-stopping:
			default:
				required = true
			}
		}
	}
	body, err = readResponse(conn)
	return required, body, err
}

func TestStopsUnderLoadCutNoRequest(t *testing.T) {
	const stops, callers = 100, 12
	var all sync.WaitGroup
	var mu sync.Mutex
	owed, responded := 0, 0
	for seed := range uint64(stops) {
		r := rand.New(rand.NewPCG(seed, 1))
		s := newServer(t)
		s.serveInBackground(t)
		var conns []net.Conn
		for range callers {
			conns = append(conns, dial(t, s))
		}
		all.Go(func() {
			stopping := make(chan struct{})
			var group sync.WaitGroup
			for _, conn := range conns {
				c := randomCaller(r)
				if c.keepAlive {
					_, err := io.WriteString(conn, getRequest)
					assert.NoError(t, err)
					_, err = readResponse(conn)
					assert.NoError(t, err)
				}
				group.Go(func() {
					required, body, err := c.send(conn, stopping)
					mu.Lock()
					defer mu.Unlock()
					if required {
						owed++
						assert.NoError(t, err, "seed %d, %+v", seed, c)
						assert.Equal(t, c.want, body, "seed %d", seed)
					}
					if err == nil {
						responded++
					}
				})
			}
			time.Sleep(time.Duration(r.IntN(30)) * time.Millisecond)
			close(stopping)
			left, err := s.Stop(time.Now().Add(8 * time.Second))
			assert.NoError(t, err)
			assert.Zero(t, left)
			group.Wait()
		})
	}
	all.Wait()
	assert.Greater(t, owed, stops*callers/4)
	t.Logf("%d requests had begun before the stop, %d of %d got a response", owed, responded, stops*callers)
}
