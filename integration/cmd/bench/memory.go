package main

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/standin/enginesim"
)

const (
	openStreams = 1000
	// Shorter than the token gap target; with slower steps, admission rejects all
	// requests.
	memoryStepMS        = 20
	memoryTokens        = 900
	memorySettleTime    = 3 * time.Second
	clockTicksPerSecond = 100
)

// measureMemory measures the resident memory of the host before and while it serves
// streams.
func measureMemory(ctx context.Context, env *environment) error {
	f, err := env.deploy(ctx, 1, enginesim.Config{DecodeStepMS: memoryStepMS})
	if err != nil {
		return err
	}
	defer f.Close()
	pid := f.Hosts[0].Process.PID()
	before, err := residentMemory(pid)
	if err != nil {
		return err
	}
	after, opened, err := f.memoryWithStreams(ctx, pid)
	if err != nil {
		return err
	}
	const mebibyte = 1 << 20
	printMetric("memory_idle_host", float64(before)/mebibyte, "MiB")
	printMetric("memory_per_1000_open_streams", float64(after-before)/mebibyte*1000/float64(opened), "MiB")
	return nil
}

// memoryWithStreams opens streams and returns the resident memory of the process pid
// and the number of streams that have received a token.
func (f *fixture) memoryWithStreams(ctx context.Context, pid int) (resident int64, opened int, err error) {
	host, _ := f.targets()
	ctx, stop := context.WithCancel(ctx)
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	var r recorder
	for i := range openStreams {
		body := []byte(f.ChatBody(true, memoryTokens, fmt.Sprintf("open stream %d", i)))
		group.Go(func() {
			if err := host.stream(ctx, body, &r); err != nil {
				r.fail(err)
			}
		})
		time.Sleep(time.Millisecond)
	}
	time.Sleep(memorySettleTime)
	resident, err = residentMemory(pid)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failures > 0 {
		return 0, 0, eris.Errorf("%d streams failed: %s", r.failures, r.lastError)
	}
	return resident, len(r.firstToken), err
}

// residentMemory returns the resident memory of a process in bytes.
func residentMemory(pid int) (int64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, eris.Wrap(err, "read resident memory")
	}
	fields := strings.Fields(string(data))
	pages, err := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize()), eris.Wrap(err, "read resident memory")
}

// Positions of fields in /proc/PID/stat after the name, which is in parentheses.
const (
	statUserTime   = 11
	statSystemTime = 12
)

// processorTime returns the user and system processor time that a process has used.
func processorTime(pid int) (time.Duration, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, eris.Wrap(err, "processor time")
	}
	text := string(data)
	fields := strings.Fields(text[strings.LastIndexByte(text, ')')+1:])
	var ticks int64
	for _, field := range []int{statUserTime, statSystemTime} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "processor time")
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicksPerSecond, nil
}
