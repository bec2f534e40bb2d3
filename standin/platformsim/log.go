package platformsim

import (
	"context"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// maxReadBytes limits the data in the response to one read.
const maxReadBytes = 4 << 20

// log is the append-only log.
type log struct {
	mu         sync.Mutex
	first      model.Offset
	entries    []platform.LogEntry
	appended   chan struct{}
	limiter    *rate.Limiter
	retention  time.Duration
	maxEntries int
}

func newLog(c *Config) *log {
	burst := max(int(c.AppendsPerS/10), 1)
	return &log{
		first:      1,
		appended:   make(chan struct{}),
		limiter:    rate.NewLimiter(rate.Limit(c.AppendsPerS), burst),
		retention:  milliseconds(c.RetentionMS),
		maxEntries: c.RetentionEntries,
	}
}

func (l *log) next() model.Offset {
	return l.first + model.Offset(len(l.entries))
}

// append adds an entry. It reports false if the append rate is exceeded. The
// function observe runs before any reader can see the entry.
func (l *log) append(data []byte, now time.Time, observe func(model.Offset)) (model.Offset, bool) {
	if !l.limiter.AllowN(now, 1) {
		return 0, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	offset := l.next()
	observe(offset)
	l.entries = append(l.entries, platform.LogEntry{Offset: offset, TimeMS: now.UnixMilli(), Data: data})
	l.trim(now)
	close(l.appended)
	l.appended = make(chan struct{})
	return offset, true
}

// trim drops the entries beyond the retention. The caller holds l.mu.
func (l *log) trim(now time.Time) {
	oldest := now.Add(-l.retention).UnixMilli()
	drop := max(len(l.entries)-l.maxEntries, 0)
	for drop < len(l.entries) && l.entries[drop].TimeMS < oldest {
		drop++
	}
	l.first += model.Offset(drop)
	l.entries = l.entries[drop:]
}

// dropBefore drops all entries before an offset.
func (l *log) dropBefore(offset model.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.entries) > 0 && l.first < offset {
		l.entries = l.entries[1:]
		l.first++
	}
}

// read returns entries starting at an offset. If there is none yet, it waits for
// one for up to the duration wait. It reports false if the offset was dropped.
func (l *log) read(ctx context.Context, from model.Offset, limit int, wait time.Duration) (platform.ReadResponse, bool) {
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	from = max(from, 1)
	for {
		response, retained, appended := l.readNow(from, limit)
		if !retained || len(response.Entries) > 0 || wait <= 0 {
			return response, retained
		}
		select {
		case <-appended:
		case <-deadline.C:
			return response, true
		case <-ctx.Done():
			return response, true
		}
	}
}

// readNow returns the entries that are present from an offset, whether the offset is
// still retained, and a channel that is closed at the next append.
func (l *log) readNow(from model.Offset, limit int) (platform.ReadResponse, bool, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trim(time.Now())
	response := platform.ReadResponse{First: l.first, Next: l.next(), Entries: []platform.LogEntry{}}
	if from < l.first {
		return response, false, nil
	}
	size := 0
	for i := int(from - l.first); i < len(l.entries) && len(response.Entries) < limit; i++ {
		size += len(l.entries[i].Data)
		if size > maxReadBytes && len(response.Entries) > 0 {
			break
		}
		response.Entries = append(response.Entries, l.entries[i])
	}
	return response, true, l.appended
}
