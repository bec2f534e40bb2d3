// Command standin plays the cases of the review: it starts hosts of the system as processes
// on loopback addresses, with stand-ins for the platform, the runners and the clients.
//
//	standin CASE RECORD TROUBLE
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

var (
	noteMu  sync.Mutex
	record  *os.File
	started = time.Now()
	tempDir string
)

// note writes a line to the record, with the time since the start.
func note(format string, args ...any) {
	noteMu.Lock()
	defer noteMu.Unlock()
	if record != nil {
		_, _ = fmt.Fprintf(record, "%8.3f  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
	}
}

func check(err error) {
	if err != nil {
		cannotRun(err.Error())
	}
}

func cannotRun(reason string) {
	note("the case cannot run: %s", reason)
	fmt.Fprintln(os.Stderr, reason)
	end(exitCannotRun)
}

// end stops all processes and exits.
func end(code int) {
	stopHosts()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
	os.Exit(code)
}

var cases = map[string]func(trouble bool) bool{
	"removal":  removedRunner,
	"unframed": unframedStream,
	"path":     doubleSlash,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD TROUBLE")
		os.Exit(exitCannotRun)
	}
	var err error
	record, err = os.Create(os.Args[2])
	check(err)
	tempDir, err = os.MkdirTemp("", "redwingpath-review-")
	check(err)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		cannotRun("interrupted")
	}()
	time.AfterFunc(110*time.Second, func() { cannotRun("the case takes too long") })
	trouble := os.Args[3] != "0"
	note("case %s, trouble %v", os.Args[1], trouble)
	if cases[os.Args[1]](trouble) {
		note("RESULT: the rule is broken")
		fmt.Println("the rule is broken")
		end(exitBroken)
	}
	note("RESULT: the rule holds")
	fmt.Println("the rule holds")
	end(exitHeld)
}
