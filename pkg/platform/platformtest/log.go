// Package platformtest provides an in-memory platform log for unit tests.
package platformtest

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Log is an in-memory platform.Log with fault injection. Change its fields only
// through Set.
type Log struct {
	mu      sync.Mutex
	entries []platform.LogEntry
	first   model.Offset
	changed chan struct{}
	// Down makes every call fail with platform.ErrUnavailable.
	Down bool
	// LoseResponses is the number of Appends that will next take effect but return
	// platform.ErrUnavailable.
	LoseResponses int
	// DropAppends is the number of Appends that will next return
	// platform.ErrUnavailable without taking effect.
	DropAppends int
	// Appends counts the calls of Append, including failed ones.
	Appends int
	// ClockSkew is added to the times of new entries.
	ClockSkew time.Duration
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{first: 1, changed: make(chan struct{})} }

// Append implements platform.Log.
func (l *Log) Append(_ context.Context, data []byte) (model.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Appends++
	if l.Down {
		return 0, eris.Wrap(platform.ErrUnavailable, "down")
	}
	if l.DropAppends > 0 {
		l.DropAppends--
		return 0, eris.Wrap(platform.ErrUnavailable, "dropped")
	}
	offset := l.first + model.Offset(len(l.entries))
	l.entries = append(l.entries, platform.LogEntry{Offset: offset, TimeMS: time.Now().Add(l.ClockSkew).UnixMilli(), Data: data})
	close(l.changed)
	l.changed = make(chan struct{})
	if l.LoseResponses > 0 {
		l.LoseResponses--
		return 0, eris.Wrap(platform.ErrUnavailable, "response lost")
	}
	return offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (platform.ReadResponse, error) {
	timeout := time.After(wait)
	for {
		r, changed, err := l.readNow(from, limit)
		if err != nil || len(r.Entries) > 0 || wait == 0 {
			return r, err
		}
		select {
		case <-changed:
		case <-timeout:
			return r, nil
		case <-ctx.Done():
			return r, eris.Wrap(platform.ErrUnavailable, "canceled")
		}
	}
}

func (l *Log) readNow(from model.Offset, limit int) (platform.ReadResponse, chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := platform.ReadResponse{First: l.first, Next: l.first + model.Offset(len(l.entries))}
	if l.Down {
		return r, nil, eris.Wrap(platform.ErrUnavailable, "down")
	}
	if from < l.first {
		return r, nil, eris.Wrap(platform.ErrDropped, "read")
	}
	if from < r.Next {
		rest := l.entries[from-l.first:]
		r.Entries = append(r.Entries, rest[:min(limit, len(rest))]...)
	}
	return r, l.changed, nil
}

// Set changes the log under its lock.
func (l *Log) Set(change func(*Log)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(l)
}

// DropBefore deletes the entries below an offset.
func (l *Log) DropBefore(first model.Offset) {
	l.Set(func(l *Log) {
		l.entries = l.entries[first-l.first:]
		l.first = first
	})
}

// Entries returns the retained entries.
func (l *Log) Entries() []platform.LogEntry {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.entries)
}
