package main

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/example"
)

// usage holds the resources that processes have used since their start, and their
// current resident memory.
type usage struct {
	processor time.Duration
	memory    int64
	// bytes counts the bytes read and written by system calls. The processes use no
	// files, so these are network traffic and log output.
	bytes int64
}

func totalUsage(hosts []*example.Host) (usage, error) {
	var sum usage
	for _, h := range hosts {
		u, err := processUsage(h.Process.PID())
		if err != nil {
			return sum, eris.Wrapf(err, "host process %d", h.Process.PID())
		}
		sum.processor += u.processor
		sum.memory += u.memory
		sum.bytes += u.bytes
	}
	return sum, nil
}

func processUsage(pid int) (u usage, err error) {
	if u.processor, err = processorTime(pid); err != nil {
		return u, err
	}
	status, err := readNumbers(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	u.memory = status["VmRSS"] * 1024
	io, err := readNumbers(fmt.Sprintf("/proc/%d/io", pid))
	u.bytes = io["rchar"] + io["wchar"]
	return u, err
}

// readNumbers reads a file with lines of the form "name: number" and skips other lines.
func readNumbers(path string) (map[string]int64, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	values := make(map[string]int64)
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		name, rest, ok := strings.Cut(lines.Text(), ":")
		parts := strings.Fields(rest)
		if !ok || len(parts) == 0 {
			continue
		}
		if n, err := strconv.ParseInt(parts[0], 10, 64); err == nil {
			values[name] = n
		}
	}
	return values, lines.Err()
}

// processorTime sums the processor time of the threads of a process, which the
// scheduler counts in nanoseconds.
func processorTime(pid int) (time.Duration, error) {
	tasks, err := os.ReadDir(fmt.Sprintf("/proc/%d/task", pid))
	if err != nil {
		return 0, err
	}
	var sum time.Duration
	for _, task := range tasks {
		data, err := os.ReadFile(fmt.Sprintf("/proc/%d/task/%s/schedstat", pid, task.Name()))
		if err != nil {
			continue // the thread has ended
		}
		first, _, _ := strings.Cut(string(data), " ")
		ns, err := strconv.ParseInt(first, 10, 64)
		if err != nil {
			return 0, eris.Wrap(err, "schedstat")
		}
		sum += time.Duration(ns)
	}
	return sum, nil
}
