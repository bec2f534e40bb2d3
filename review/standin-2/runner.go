package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
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
	r := &runner{id: *id, stage: *stage, events: *events, pause: *pause, unframed: *unframed}
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
}

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
		if !r.respond(conn, req) {
			return
		}
	}
}

// respond answers a request and reports whether the connection is kept.
func (r *runner) respond(conn net.Conn, req *http.Request) bool {
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
	fmt.Printf("run %s\n", attempt)
	if r.stage == "" {
		time.Sleep(r.pause)
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
	for i := from + 1; i <= r.events; i++ {
		time.Sleep(r.pause)
		if _, err := io.WriteString(conn, chunk(event(attempt, i))); err != nil {
			fmt.Printf("broken %s after %d\n", attempt, i-1)
			return false
		}
		fmt.Printf("sent %s %d\n", attempt, i)
	}
	fmt.Printf("done %s\n", attempt)
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
