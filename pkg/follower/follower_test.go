package follower

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/platform/platformtest"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// startFollower runs a follower on a log until the test ends.
func startFollower(t *testing.T, log platform.Log, change func(*Config)) (*Follower, *tableSink) {
	t.Helper()
	sink := newTableSink()
	c := Config{Log: log, Sink: sink, Host: "h1", Incarnation: "01A"}
	if change != nil {
		change(&c)
	}
	f := New(c)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = f.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return f, sink
}

func batchRecord(t require.TestingT, sequence uint64) logrec.Record {
	r, err := logrec.New(logrec.KindUsageBatch, logrec.UsageBatch{Sequence: sequence,
		Lines: []logrec.UsageLine{{Organisation: "o", Pool: "p", Requests: 1}}})
	require.NoError(t, err)
	return r
}

// requests counts the requests in the open usage window, to which each record
// of batchRecord adds one.
func requests(s *state.Snapshot) int64 {
	var n int64
	for _, l := range s.OpenUsage(state.UsageShard("o")) {
		n += l.Requests
	}
	return n
}

// Guards against a record that is counted twice or is never appended because a
// response of the log was lost.
func TestAppendSurvivesLostResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, sink := startFollower(t, log, nil)
		for i := range uint64(20) {
			log.Set(func(l *platformtest.Log) { l.LoseResponses, l.DropAppends = int(i%3), int(i%2) })
			results, err := f.AppendResults(t.Context(), batchRecord(t, i+1))
			require.NoError(t, err)
			require.True(t, results[0].Applied, results[0].Reason)
		}
		require.EqualValues(t, 20, requests(sink.view()))
	})
}

// Guards against a record that is counted twice because it was sent again
// before its first append took effect.
func TestResentRecordCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, sink := startFollower(t, log, nil)
		r := batchRecord(t, 1)
		_, err := f.Append(t.Context(), r)
		require.NoError(t, err)
		_, err = log.Append(t.Context(), log.Entries()[0].Data)
		require.NoError(t, err)
		time.Sleep(time.Second)
		require.EqualValues(t, 1, requests(sink.view()))
	})
}

// Guards against exceeding the host's share of the log's append rate.
func TestConcurrentAppendsShareEntries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, _ := startFollower(t, log, nil)
		var group sync.WaitGroup
		start := time.Now()
		for i := range 500 {
			group.Go(func() {
				r, _ := logrec.New(logrec.KindCrash, logrec.Crash{Digest: fmt.Sprint(i)})
				_, err := f.Append(t.Context(), r)
				require.NoError(t, err)
			})
		}
		group.Wait()
		require.LessOrEqual(t, log.Appends, int(time.Since(start).Seconds()*DefaultAppendsPerSecond)+2)
		require.Less(t, log.Appends, 10)
	})
}

// Guards against an error that does not tell that the records may still appear
// in the log.
func TestErrorTellsWhetherRecordsMayAppear(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, _ := startFollower(t, log, nil)
		log.Set(func(l *platformtest.Log) { l.Down = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := f.Append(ctx, batchRecord(t, 1))
		require.ErrorIs(t, err, platform.ErrUnavailable)
	})
}

// Guards against records that remain void on a host whose clock is wrong.
func TestWrongClockGetsNewIDs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		log.ClockSkew = 2 * state.MaxIDSkew
		f, sink := startFollower(t, log, nil)
		results, err := f.AppendResults(t.Context(), batchRecord(t, 1))
		require.NoError(t, err)
		require.True(t, results[0].Applied, results[0].Reason)
		require.EqualValues(t, 1, requests(sink.view()))
	})
}

// Guards against an outage of the log that ends the follower or loses pending
// records.
func TestOutageIsWaitedOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		log.Down = true
		f, sink := startFollower(t, log, nil)
		time.AfterFunc(time.Minute, func() { log.Set(func(l *platformtest.Log) { l.Down = false }) })
		_, err := f.Append(t.Context(), batchRecord(t, 1))
		require.NoError(t, err)
		require.EqualValues(t, 1, requests(sink.view()))
	})
}

// Guards against a host that does not catch up after the log has dropped
// entries that it needs, and against restoring a damaged checkpoint.
func TestDroppedOffsetsRestartFromCheckpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, sink := startFollower(t, log, nil)
		for i := range uint64(5) {
			_, err := f.Append(t.Context(), batchRecord(t, i+1))
			require.NoError(t, err)
		}
		writeCheckpoint(t, f, sink.view(), "good", false)
		first := f.Next() - 1
		_, err := f.Append(t.Context(), batchRecord(t, 6))
		require.NoError(t, err)
		writeCheckpoint(t, f, sink.view(), "damaged", true)
		want, err := sink.view().Encode()
		require.NoError(t, err)

		log.DropBefore(first)
		_, late := startFollower(t, log, func(c *Config) { c.Host = "h2" })
		time.Sleep(2 * time.Second)
		got, err := late.view().Encode()
		require.NoError(t, err)
		require.Equal(t, 1, late.restores)
		require.Equal(t, string(want), string(got))
	})
}

func writeCheckpoint(t *testing.T, f *Follower, s *state.Snapshot, id string, damage bool) {
	records, err := state.CheckpointRecords(s, id, 0)
	require.NoError(t, err)
	if damage {
		chunk, err := logrec.DecodeBody[logrec.CheckpointChunk](&records[0])
		require.NoError(t, err)
		chunk.Data[0] ^= 1
		records[0], err = logrec.New(logrec.KindCheckpointChunk, chunk)
		require.NoError(t, err)
	}
	_, err = f.Append(t.Context(), records...)
	require.NoError(t, err)
}

// Guards against a peer's batch that leaves a gap, and against an entry that is
// applied twice because it comes from the log and from a peer.
func TestDeliverFromPeerConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, sink := startFollower(t, log, nil)
		_, err := f.Append(t.Context(), batchRecord(t, 1))
		require.NoError(t, err)
		ok, err := f.DeliverFromPeer(t.Context(), Batch{From: f.Next() + 1, Next: f.Next() + 2})
		require.NoError(t, err)
		require.False(t, ok)
		ok, err = f.DeliverFromPeer(t.Context(), Batch{From: 1, Next: 2, Entries: log.Entries()})
		require.NoError(t, err)
		require.True(t, ok)
		require.EqualValues(t, 1, requests(sink.view()))
		require.Equal(t, model.Offset(2), f.Next())
	})
}

// Guards against the end reported by a lagging log server being taken for the
// end of the log.
func TestEndReportedByLaggingServerIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log := platformtest.NewLog()
		f, sink := startFollower(t, log, nil)
		_, err := f.Append(t.Context(), batchRecord(t, 1))
		require.NoError(t, err)
		ok, err := f.DeliverFromPeer(t.Context(), Batch{From: 2, Next: 3, Entries: []platform.LogEntry{{Offset: 2, Data: []byte("[]")}}})
		require.NoError(t, err)
		require.True(t, ok)
		time.Sleep(time.Second)
		before := sink.readCount()
		time.Sleep(5 * time.Second)
		require.Equal(t, before, sink.readCount())
	})
}
