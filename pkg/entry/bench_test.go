package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// pacedEngine sends tokens at a fixed interval and does as little else as
// possible. The text of each token is the time at which it was sent.
type pacedEngine struct {
	tokens int
	gap    time.Duration
	// hold keeps streams open after their tokens until it is closed.
	hold chan struct{}
}

// benchNow returns a time that all processes of one machine share.
func benchNow() int64 { return time.Now().UnixNano() }

func (e *pacedEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get(engine.HeaderRequestID)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	var line []byte
	due := time.Now()
	for i := range e.tokens {
		if due = due.Add(e.gap); e.gap > 0 {
			time.Sleep(time.Until(due))
		}
		line = append(line[:0], `data: {"id":"`...)
		line = append(line, id...)
		line = append(line, `","object":"chat.completion.chunk","created":1796268000,"model":"tasador","choices":[{"index":0,"delta":{"content":"`...)
		line = strconv.AppendInt(line, benchNow(), 10)
		line = append(line, `"},"finish_reason":null}],"token_index":`...)
		line = strconv.AppendInt(line, int64(i), 10)
		line = append(line, "}\n\n"...)
		_, _ = w.Write(line)
		_ = control.Flush()
	}
	if e.hold != nil {
		<-e.hold
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"token_index\":%d,\"usage\":{\"prompt_tokens\":7}}\n\ndata: [DONE]\n\n", id, e.tokens)
}

// benchTarget is a route to the engine: directly or through a host.
type benchTarget struct {
	url    string
	client *http.Client
}

func newBenchTargets(b *testing.B, e *pacedEngine) map[string]*benchTarget {
	server := httptest.NewServer(e)
	b.Cleanup(server.Close)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10000}}
	b.Cleanup(client.CloseIdleConnections)
	h := newTestHost(b, func(s *Settings) { s.MaxTokensLimit = 1 << 20 })
	h.router.add(model.PoolEngine, "e1", server.URL)
	return map[string]*benchTarget{
		"direct": {server.URL + engine.PathChat, client},
		"host":   {h.server.URL + chatPath, client},
	}
}

// stream reads one response and passes the latency of each token to onToken.
func (t *benchTarget) stream(body string, onToken func(time.Duration)) (tokens int, err error) {
	req, err := http.NewRequest(http.MethodPost, t.url, bytes.NewBufferString(body))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(headerAPIKey, testKey)
	req.Header.Set(engine.HeaderRequestID, "r1")
	resp, err := t.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	in := bufio.NewReader(resp.Body)
	for {
		line, err := in.ReadSlice('\n')
		if err == io.EOF {
			return tokens, nil
		}
		if err != nil {
			return tokens, err
		}
		_, after, ok := bytes.Cut(line, []byte(`"content":"`))
		if !ok {
			continue
		}
		number, _, _ := bytes.Cut(after, []byte(`"`))
		sent, _ := strconv.ParseInt(string(number), 10, 64)
		tokens++
		onToken(time.Duration(benchNow() - sent))
	}
}

func cpuTime() time.Duration {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// latencies is a histogram in microseconds, safe for concurrent use.
type latencies struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newLatencies() *latencies { return &latencies{h: hdrhistogram.New(1, 60_000_000, 3)} }

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(max(1, d.Microseconds()))
}

func (l *latencies) quantile(q float64) time.Duration {
	return time.Duration(l.h.ValueAtQuantile(q)) * time.Microsecond
}

func (l *latencies) report(b *testing.B, name string) {
	b.ReportMetric(float64(l.h.ValueAtQuantile(50))/1000, name+"-p50-ms")
	b.ReportMetric(float64(l.h.ValueAtQuantile(99))/1000, name+"-p99-ms")
}

// BenchmarkTokens measures the processor time per token of engine, host and
// caller together; the host's own part is the difference between the two
// targets.
func BenchmarkTokens(b *testing.B) {
	for _, name := range []string{"direct", "host"} {
		b.Run(name, func(b *testing.B) {
			const streams = 400
			target := newBenchTargets(b, &pacedEngine{tokens: max(1, b.N/streams), gap: 10 * time.Millisecond})[name]
			before := cpuTime()
			b.ReportAllocs()
			b.ResetTimer()
			var tokens atomic.Int64
			var callers sync.WaitGroup
			for range streams {
				callers.Go(func() {
					n, _ := target.stream(chatBody(512, true), func(time.Duration) {})
					tokens.Add(int64(n))
				})
			}
			callers.Wait()
			b.StopTimer()
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(tokens.Load()), "cpu-ns/token")
			b.ReportMetric(float64(tokens.Load())/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkRequests measures requests of one token at a moderate load.
func BenchmarkRequests(b *testing.B) {
	for _, name := range []string{"direct", "host"} {
		b.Run(name, func(b *testing.B) {
			target := newBenchTargets(b, &pacedEngine{tokens: 1})[name]
			took := newLatencies()
			before := cpuTime()
			b.ReportAllocs()
			b.SetParallelism(1)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					start := time.Now()
					_, _ = target.stream(chatBody(512, true), func(time.Duration) {})
					took.add(time.Since(start))
				}
			})
			b.StopTimer()
			b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/request")
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "requests/s")
			took.report(b, "request")
		})
	}
}

// loadReport is the result of a load generator process.
type loadReport struct {
	TokenP50, TokenP99, FirstP99 time.Duration
	Tokens, Failures             int64
	TokensPerS                   float64
}

// generateLoad sends requests at a fixed rate for some seconds and prints a
// report.
func generateLoad(url string, rate, tokens, seconds int) {
	target := &benchTarget{url, &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 10000}}}
	body := fmt.Sprintf(`{"model":"tasador","stream":true,"max_tokens":512,"messages":[{"role":"user","content":"%s"}]}`, bytes.Repeat([]byte("stave "), 1400))
	token, first := newLatencies(), newLatencies()
	var received, failures atomic.Int64
	var callers sync.WaitGroup
	start := time.Now()
	for i := range rate * seconds {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		callers.Go(func() {
			sent, seen := time.Now(), false
			n, err := target.stream(body, func(d time.Duration) {
				if !seen {
					seen = true
					first.add(time.Since(sent))
				}
				token.add(d)
				received.Add(1)
			})
			if err != nil || n != tokens {
				failures.Add(1)
			}
		})
	}
	callers.Wait()
	_ = json.NewEncoder(os.Stdout).Encode(loadReport{
		TokenP50: token.quantile(50), TokenP99: token.quantile(99), FirstP99: first.quantile(99),
		Tokens: received.Load(), Failures: failures.Load(),
		TokensPerS: float64(received.Load()) / time.Since(start).Seconds(),
	})
}

const processRoleEnv = "REDWINGPATH_BENCH_ROLE"

// runProcessRole runs the engine or the load generator of BenchmarkHostLoad in
// a separate process, so that the benchmark's own process measures the host
// alone.
func runProcessRole(role string) {
	switch role {
	case "engine":
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			panic(err)
		}
		fmt.Println("http://" + listener.Addr().String())
		// The process exits when its standard input is closed.
		go func() { _ = http.Serve(listener, &pacedEngine{tokens: loadTokensPerRequest, gap: loadTokenGap}) }()
		_, _ = io.Copy(io.Discard, os.Stdin)
	case "load":
		generateLoad(os.Args[1], loadRequestsPerSecond, loadTokensPerRequest, loadSeconds)
	}
}

// The load of BenchmarkHostLoad is ten times that of a host at the target size:
// 500 requests and 140,000 tokens a second.
const (
	loadRequestsPerSecond = 500
	loadTokensPerRequest  = 280
	loadTokenGap          = 28 * time.Millisecond
	loadSeconds           = 16
)

func startProcess(b *testing.B, role string, args ...string) (*bufio.Reader, func()) {
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), processRoleEnv+"="+role)
	cmd.Stderr = os.Stderr
	in, err := cmd.StdinPipe()
	require.NoError(b, err)
	out, err := cmd.StdoutPipe()
	require.NoError(b, err)
	require.NoError(b, cmd.Start())
	return bufio.NewReader(out), func() {
		_ = in.Close()
		_ = cmd.Wait()
	}
}

// BenchmarkHostLoad measures the added latency and the processor time of a host
// under load, with engine and callers in other processes. Run it with
// -benchtime 1x.
func BenchmarkHostLoad(b *testing.B) {
	for _, name := range []string{"direct", "host"} {
		b.Run(name, func(b *testing.B) {
			out, stopEngine := startProcess(b, "engine")
			defer stopEngine()
			url, err := out.ReadString('\n')
			require.NoError(b, err)
			url = strings.TrimSpace(url)
			target := url + engine.PathChat
			if name == "host" {
				h := newTestHost(b, nil)
				h.router.add(model.PoolEngine, "e1", url)
				target = h.server.URL + chatPath
			}
			before, start := cpuTime(), time.Now()
			report, stopLoad := startProcess(b, "load", target)
			defer stopLoad()
			var r loadReport
			require.NoError(b, json.NewDecoder(report).Decode(&r))
			b.ReportMetric((cpuTime()-before).Seconds()/time.Since(start).Seconds(), "host-cores")
			b.ReportMetric(float64((cpuTime()-before).Nanoseconds())/float64(r.Tokens), "host-cpu-ns/token")
			b.ReportMetric(float64(r.TokenP50)/1e6, "token-p50-ms")
			b.ReportMetric(float64(r.TokenP99)/1e6, "token-p99-ms")
			b.ReportMetric(float64(r.FirstP99)/1e6, "first-p99-ms")
			b.ReportMetric(r.TokensPerS, "tokens/s-mean")
			b.ReportMetric(float64(r.Failures), "failures")
		})
	}
}

// BenchmarkOpenStreams measures the memory of 1,000 open streams, over engine,
// host and caller together. Run it with -benchtime 1x.
func BenchmarkOpenStreams(b *testing.B) {
	const streams = 1000
	for _, name := range []string{"direct", "host"} {
		b.Run(name, func(b *testing.B) {
			e := &pacedEngine{tokens: 1, hold: make(chan struct{})}
			target := newBenchTargets(b, e)[name]
			before := memoryInUse()
			var open, callers sync.WaitGroup
			open.Add(streams)
			for range streams {
				callers.Go(func() {
					_, err := target.stream(chatBody(512, true), func(time.Duration) { open.Done() })
					require.NoError(b, err)
				})
			}
			open.Wait()
			b.ReportMetric(float64(memoryInUse()-before)/streams/1024, "KiB/stream")
			close(e.hold)
			callers.Wait()
		})
	}
}

func memoryInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}
