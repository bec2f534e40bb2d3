package control

import (
	"context"
	"time"

	"github.com/redwingpath/redwingpath/pkg/authority"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Dump is the control state of a host for operators.
type Dump struct {
	Host         model.HostID                        `json:"host"`
	Incarnation  model.Incarnation                   `json:"inc"`
	Offset       model.Offset                        `json:"offset"`
	LogTime      time.Time                           `json:"log_time"`
	Fresh        bool                                `json:"fresh"`
	FreshFor     time.Duration                       `json:"fresh_for_ns"`
	LogReachable bool                                `json:"log_reachable"`
	Established  bool                                `json:"established"`
	Leaving      bool                                `json:"leaving"`
	Pauses       int                                 `json:"pauses"`
	Held         map[model.ShardName]model.Offset    `json:"held"`
	Members      []state.Member                      `json:"members"`
	Failed       []state.FailedMember                `json:"failed"`
	Shards       []state.Shard                       `json:"shards"`
	OpenIntents  []state.OpenIntent                  `json:"open_intents"`
	Unreported   []state.SealedWindow                `json:"unreported"`
	Checkpoint   state.Checkpoint                    `json:"checkpoint"`
	Peers        map[model.HostID]authority.Liveness `json:"peers"`
	Jobs         []string                            `json:"jobs"`
	Counters     state.Counters                      `json:"counters"`
}

// Dump returns the current control state.
func (c *Control) Dump(ctx context.Context) (Dump, error) {
	var d Dump
	err := c.runInLoop(ctx, func() { d = c.dump(time.Now()) })
	return d, err
}

func (c *Control) dump(now time.Time) Dump {
	s := c.Tables()
	d := Dump{
		Host: c.config.Host, Incarnation: c.config.Incarnation,
		Offset: s.Offset(), LogTime: time.UnixMilli(s.TimeMS()).UTC(),
		Fresh: c.Fresh(), FreshFor: max(c.freshUntil.Load().Sub(now), 0), LogReachable: c.LogReachable(),
		Established: c.tracker.Established(s), Leaving: c.leaving.Load(), Pauses: c.pauses,
		Held: c.lease.Load().Held(), Members: s.Members(), Failed: s.FailedMembers(), Shards: s.Shards(),
		OpenIntents: s.OpenIntents(), Unreported: s.Unreported(), Checkpoint: s.LastCheckpoint(),
		Peers: map[model.HostID]authority.Liveness{}, Counters: c.tables.Counters(),
	}
	for h, l := range c.peers {
		d.Peers[h] = l
	}
	for name := range c.jobs {
		d.Jobs = append(d.Jobs, name)
	}
	return d
}
