package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// runnerMain is a runner. It answers with streams of events, or with plain bodies if it has no
// stage. It writes a line for each run: the request's id, what happened and how much it sent.
func runnerMain(args []string) {
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	id := flags.String("id", "", "")
	address := flags.String("address", "", "")
	stage := flags.String("stage", "", "")
	events := flags.Int("events", 20, "events of a stream")
	pause := flags.Duration("pause", 150*time.Millisecond, "pause between events")
	unframed := flags.Bool("unframed", false, "answers have no length and end with their connection")
	first := flags.Duration("first", 0, "time to the first event, beside the pause")
	keeps := flags.Bool("keeps", false, "goes on with a request whose connection has closed")
	slow := flags.Float64("slow", 5, "factor by which the runner works longer between SIGUSR1 and SIGUSR2")
	_ = flags.Parse(args)
	var listener net.Listener
	var err error
	for range 100 {
		if listener, err = net.Listen("tcp", *address); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	r := &runner{id: *id, stage: *stage, events: *events, pause: *pause, unframed: *unframed, first: *first, keeps: *keeps}
	r.factor.Store(1000)
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGUSR2)
	go func() {
		for s := range signals {
			if s == syscall.SIGUSR1 {
				r.factor.Store(int64(*slow * 1000))
			} else {
				r.factor.Store(1000)
			}
		}
	}()
	for {
		conn, err := listener.Accept()
		if err != nil {
			os.Exit(1)
		}
		go r.serve(conn)
	}
}

type runner struct {
	id, stage string
	events    int
	pause     time.Duration
	unframed  bool
	first     time.Duration
	keeps     bool
	// factor is how much longer the runner works than usual, in thousandths.
	factor atomic.Int64
}

// work waits for as long as the runner needs for work of a usual length. It reports false if the
// runner drops the request, since its connection has closed.
func (r *runner) work(usual time.Duration, closed <-chan struct{}) bool {
	if r.keeps {
		closed = nil
	}
	select {
	case <-time.After(usual * time.Duration(r.factor.Load()) / 1000):
		return true
	case <-closed:
		return false
	}
}

// stamp returns the time of a line.
func stamp() int64 { return time.Now().UnixMilli() }

func (r *runner) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		// The next byte is that of the next request, unless the connection has closed.
		closed, next := make(chan struct{}), make(chan struct{})
		go func() {
			if _, err := reader.Peek(1); err != nil {
				close(closed)
			}
			close(next)
		}()
		if !r.respond(conn, req, closed) {
			return
		}
		<-next
	}
}

// respond answers a request and reports whether the connection is kept.
func (r *runner) respond(conn net.Conn, req *http.Request, closed <-chan struct{}) bool {
	attempt := req.Header.Get("Attempt-Id")
	head := "Instance-Id: " + r.id + "\r\n"
	if attempt != "" {
		head += "Attempt-Id: " + attempt + "\r\n"
	}
	plain := func(status, more, body string) bool {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s%sContent-Length: %d\r\n\r\n%s", status, head, more, len(body), body)
		return err == nil
	}
	if want := req.Header.Get("Expect-Instance"); want != "" && want != r.id {
		return plain("421 Misdirected Request", "", "")
	}
	switch {
	case req.URL.Path == "/report":
		return plain("200 OK", "Content-Type: application/json\r\n", fmt.Sprintf(`{"stage":%q,"models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"waiting":0,"running":0,"kv_used":0,"kv_total":400000,"kv_handles":0}`, r.stage))
	case req.URL.Path == "/order" || req.Method == http.MethodDelete || req.Header.Get("Stage") != "":
		return plain("400 Bad Request", "Not-Executed: 1\r\n", "")
	}
	head += "Response-Seal: seal-" + r.id + "\r\n"
	fmt.Printf("run %s %d\n", attempt, stamp())
	if r.stage == "" {
		if !r.work(r.pause, closed) {
			return false
		}
		return plain("200 OK", "", "answer "+attempt)
	}
	framing, chunk := "Transfer-Encoding: chunked\r\n", func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	if r.unframed {
		framing, chunk = "Connection: close\r\n", func(s string) string { return s }
	}
	if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\n%s\r\n", head, framing); err != nil {
		return false
	}
	from, _ := strconv.Atoi(req.Header.Get("Last-Event-Id"))
	open := r.work(r.first, closed)
	for i := from + 1; i <= r.events && (open || r.keeps); i++ {
		if !r.work(r.pause, closed) {
			open = false
			break
		}
		if _, err := io.WriteString(conn, chunk(event(attempt, i))); err != nil {
			open = false
		}
		fmt.Printf("sent %s %d %d\n", attempt, stamp(), i)
	}
	if !open {
		fmt.Printf("dropped %s %d\n", attempt, stamp())
		return false
	}
	fmt.Printf("done %s %d\n", attempt, stamp())
	if !r.unframed {
		_, err := io.WriteString(conn, "0\r\n\r\n")
		return err == nil
	}
	return false
}

// event returns an event of the answer to a request.
func event(attempt string, i int) string {
	return fmt.Sprintf("id: %d\ndata: %s token %d\n\n", i, attempt, i)
}

// wholeStream returns the body of a whole stream.
func wholeStream(attempt string, events int) string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		b.WriteString(event(attempt, i))
	}
	return b.String()
}
