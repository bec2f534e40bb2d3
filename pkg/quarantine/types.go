// Package quarantine finds the parts of prompts that crash the engines which answer
// them, and holds back requests that contain such a part. It reads no clock and does no
// I/O; callers pass the time.
//
// The evidence is the crashes of servers with the parts of the requests that they ran.
// A crash counts against a part until an answer to a request with that part is known. A
// crash that a held part explains counts against no other part, so that requests beside
// the one that crashed a server are not blamed.
package quarantine

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// PartID identifies a part of prompts.
type PartID uint64

// Settings are the limits of a Tracker.
type Settings struct {
	// Limit is the number of occasions on which servers must have crashed under a part
	// before requests with it are held back. Default: 3.
	Limit int
	// OccasionGap is the time between crashes from which they count as separate
	// occasions. Servers that fail together have another cause than a prompt. Unit:
	// duration. Default: 500ms.
	OccasionGap time.Duration
	// AnswerSlack is how long before a crash an answer still clears a part of the crash.
	// Unit: duration. Default: 1s.
	AnswerSlack time.Duration
	// Retention is how long a crash counts. Unit: duration. Default: 10m.
	Retention time.Duration
	// SameCrash is the time within which crashes of one server are the same crash,
	// observed by several hosts. It is below the time that a server takes to start
	// again. Unit: duration. Default: 2s.
	SameCrash time.Duration
	// MaxCrashes and MaxAnswered bound the crashes and the answered parts that are kept.
	// Defaults: 512 and 16,384.
	MaxCrashes, MaxAnswered int
	// MaxParts bounds the parts kept of one request. Default: 64.
	MaxParts int
	// FreshFor is how long each report repeats a change, so that it survives lost
	// reports. Unit: duration. Default: 2s.
	FreshFor time.Duration
	// MaxFresh and MaxRepeated bound the changed and the older crashes in one report.
	// Defaults: 32 and 8.
	MaxFresh, MaxRepeated int
}

// DefaultSettings returns the defaults.
func DefaultSettings() Settings {
	return Settings{
		Limit:       3,
		OccasionGap: 500 * time.Millisecond,
		AnswerSlack: time.Second,
		Retention:   10 * time.Minute,
		SameCrash:   2 * time.Second,
		MaxCrashes:  512,
		MaxAnswered: 1 << 14,
		MaxParts:    64,
		FreshFor:    2 * time.Second,
		MaxFresh:    32,
		MaxRepeated: 8,
	}
}

// Crash is a crash of a server while it ran a request, as hosts report it to each other.
type Crash struct {
	Server model.BackendID
	// Age is the time since the crash.
	Age   time.Duration
	Parts []CrashedPart
}

// CrashedPart is a part of a request that a server ran when it crashed.
type CrashedPart struct {
	ID PartID
	// Answered is set if an answer to a request with the part is known, AnswerAge the time
	// since the latest one.
	Answered  bool
	AnswerAge time.Duration
}

// Hold describes requests that are held back: those that contain all of the parts.
type Hold struct {
	// Parts has one element, unless all requests under which servers crashed had several
	// unanswered parts in common.
	Parts []PartID
	// Occasions is the number of separate occasions on which servers crashed.
	Occasions int
	// Servers are the servers that crashed, the latest last.
	Servers []model.BackendID
	// FirstCrash and LastCrash are the times of the first and the latest crash.
	FirstCrash time.Time
	LastCrash  time.Time
}
