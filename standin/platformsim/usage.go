package platformsim

import (
	"slices"
	"strings"
	"sync"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

type windowID struct {
	shard model.ShardName
	start int64
}

// usage stores the accepted usage reports.
type usage struct {
	mu           sync.Mutex
	windows      map[windowID]platform.UsageReport
	reports      map[string]platform.UsageReport
	highestFence map[model.ShardName]model.Offset
}

func newUsage() *usage {
	return &usage{
		windows:      map[windowID]platform.UsageReport{},
		reports:      map[string]platform.UsageReport{},
		highestFence: map[model.ShardName]model.Offset{},
	}
}

// report accepts a report or returns the reason for which it is refused.
func (u *usage) report(r platform.UsageReport) string {
	u.mu.Lock()
	defer u.mu.Unlock()
	if r.ReportID == "" {
		return "no report id"
	}
	window := windowID{r.Shard, r.WindowStartMS}
	if first, known := u.windows[window]; known {
		return compareReports(&first, &r)
	}
	if other, known := u.reports[r.ReportID]; known && other.WindowStartMS != r.WindowStartMS {
		return "report id was used for another window"
	}
	if r.Fence < u.highestFence[r.Shard] {
		return "old fencing number"
	}
	u.highestFence[r.Shard] = r.Fence
	u.windows[window] = r
	u.reports[r.ReportID] = r
	return ""
}

// compareReports returns the reason for which a second report of a window is
// refused, or "" if it repeats the first one.
func compareReports(first, repeat *platform.UsageReport) string {
	if first.ReportID != repeat.ReportID {
		return "window was reported under another report id"
	}
	if !slices.Equal(sortedLines(first.Lines), sortedLines(repeat.Lines)) {
		return "window was reported with other figures"
	}
	return ""
}

func sortedLines(lines []platform.UsageLine) []platform.UsageLine {
	sorted := slices.Clone(lines)
	slices.SortFunc(sorted, func(a, b platform.UsageLine) int {
		if a.Organisation != b.Organisation {
			return strings.Compare(string(a.Organisation), string(b.Organisation))
		}
		return strings.Compare(string(a.Pool), string(b.Pool))
	})
	return sorted
}

func (u *usage) status(id string) (platform.UsageReport, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r, known := u.reports[id]
	return r, known
}
