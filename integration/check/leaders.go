package check

import (
	"fmt"
	"slices"
	"strings"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Rules of P5 and P6.
const (
	RuleLeadersInterleaved Rule = "calls of two leaders are mixed"
	RuleUsageConflict      Rule = "window reported with other figures"
)

// leaderCalls checks that leaders send their calls one after the other: once a
// leader with a higher fencing token has sent a call, none follows with a lower one.
type leaderCalls struct {
	promise Promise
	holders map[model.Offset]model.HostID
	highest *record.Event
	fence   model.Offset
}

func newLeaderCalls(p Promise) *leaderCalls {
	return &leaderCalls{promise: p, holders: map[model.Offset]model.HostID{}}
}

// observe checks the next received call, whether or not it took effect: a repeat by
// a superseded process also shows that the process still acts as the leader.
func (l *leaderCalls) observe(e *record.Event, host model.HostID, fence model.Offset) []Violation {
	var found []Violation
	if first, known := l.holders[fence]; known && first != host {
		found = append(found, Violation{l.promise, RuleSharedFence,
			fmt.Sprintf("fencing number %d came from %s and %s", fence, first, host), eventEvidence(e)})
	}
	l.holders[fence] = host
	if l.highest != nil && fence < l.fence {
		return append(found, Violation{l.promise, RuleLeadersInterleaved,
			fmt.Sprintf("a call of %s with fencing number %d arrived after one with %d", host, fence, l.fence),
			eventEvidence(l.highest, e)})
	}
	l.highest, l.fence = e, fence
	return found
}

func receivedBy(e *record.Event, path string) bool {
	return e.Kind == record.Received && e.Component == platformComponent && e.Path == path
}

// ConcurrentFleetLeaders checks P5 on all backend orders that the platform received.
func ConcurrentFleetLeaders(r *Recording) []Violation {
	var found []Violation
	calls := newLeaderCalls(P5)
	for i := range r.Events {
		e := &r.Events[i]
		if !receivedBy(e, platform.PathBackendOrder) {
			continue
		}
		if o, ok := decodeBody[platform.BackendOrder](e); ok {
			found = append(found, calls.observe(e, o.Host, o.Fence)...)
		}
	}
	return found
}

type usageWindow struct {
	shard model.ShardName
	start int64
}

type firstReport struct {
	event  *record.Event
	report platform.UsageReport
}

// ConflictingUsageReports checks P6 on all usage reports that the platform received.
func ConflictingUsageReports(r *Recording) []Violation {
	var found []Violation
	shards := map[model.ShardName]*leaderCalls{}
	windows := map[usageWindow]firstReport{}
	for i := range r.Events {
		e := &r.Events[i]
		if !receivedBy(e, platform.PathUsageReport) {
			continue
		}
		report, ok := decodeBody[platform.UsageReport](e)
		if !ok {
			continue
		}
		calls := shards[report.Shard]
		if calls == nil {
			calls = newLeaderCalls(P6)
			shards[report.Shard] = calls
		}
		found = append(found, calls.observe(e, report.Host, report.Fence)...)
		id := usageWindow{report.Shard, report.WindowStartMS}
		first, known := windows[id]
		if !known {
			windows[id] = firstReport{e, report}
			continue
		}
		if !sameUsage(first.report.Lines, report.Lines) {
			found = append(found, Violation{P6, RuleUsageConflict,
				fmt.Sprintf("window %d of %s", id.start, id.shard), eventEvidence(first.event, e)})
		}
	}
	return found
}

func sameUsage(a, b []platform.UsageLine) bool {
	return slices.Equal(sortedLines(a), sortedLines(b))
}

func sortedLines(lines []platform.UsageLine) []platform.UsageLine {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, func(a, b platform.UsageLine) int {
		if c := strings.Compare(string(a.Organisation), string(b.Organisation)); c != 0 {
			return c
		}
		return strings.Compare(string(a.Pool), string(b.Pool))
	})
	return sorted
}
