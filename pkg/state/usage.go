package state

import (
	"fmt"
	"slices"
	"strings"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// sequenceRow describes the last applied batch of one incarnation.
type sequenceRow struct {
	Last uint64 `json:"last"`
	// CheckMS is the log time at which the next expiry check was queued. The
	// check is due departedTTL later.
	CheckMS int64 `json:"check_ms"`
	TimeMS  int64 `json:"time_ms"`
}

// windowRow describes the last sealed window of a usage shard.
type windowRow struct {
	StartMS  int64        `json:"start_ms"`
	SealedMS int64        `json:"sealed_ms"`
	Offset   model.Offset `json:"offset"`
}

type usageTables struct {
	// open maps shard, organisation and pool to the usage in the open window.
	open      table[logrec.UsageLine]
	sequences table[sequenceRow]
	windows   table[windowRow]
	sealed    table[SealedWindow]
}

func newUsageTables() usageTables {
	return usageTables{
		open:      newTable[logrec.UsageLine](),
		sequences: newTable[sequenceRow](),
		windows:   newTable[windowRow](),
		sealed:    newTable[SealedWindow](),
	}
}

func sequenceKey(host model.HostID, incarnation model.Incarnation) string {
	return string(host) + "\x00" + string(incarnation)
}

// applyUsageBatch adds a batch to the open windows. The batches of an
// incarnation must arrive in sequence, so that no batch is counted twice even
// after its record id was dropped.
func (t *Tables) applyUsageBatch(r *logrec.Record, body *logrec.UsageBatch, at position) *void {
	for i := range body.Lines {
		if problem := checkUsageLine(&body.Lines[i]); problem != "" {
			return newVoid(ReasonInvalid, problem)
		}
	}
	key := sequenceKey(r.Host, r.Incarnation)
	known, exists := t.usage.sequences.get(key)
	if body.Sequence != known.Last+1 {
		return newVoid(ReasonSequence, fmt.Sprintf("the batch has sequence number %d, the next one is %d", body.Sequence, known.Last+1))
	}
	if !exists {
		known.CheckMS = at.timeMS
		t.expiry.batches.push(at.timeMS, key)
	}
	known.Last = body.Sequence
	known.TimeMS = at.timeMS
	t.usage.sequences.set(key, known)
	for _, line := range body.Lines {
		t.addUsage(line)
	}
	return nil
}

func checkUsageLine(l *logrec.UsageLine) string {
	if l.Requests < 0 || l.PromptTokens < 0 || l.CachedTokens < 0 || l.OutputTokens < 0 {
		return "negative usage"
	}
	if strings.ContainsRune(string(l.Organisation), 0) || strings.ContainsRune(string(l.Pool), 0) {
		return "bad identifier"
	}
	return ""
}

func (t *Tables) addUsage(line logrec.UsageLine) {
	key := string(UsageShard(line.Organisation)) + "\x00" + string(line.Organisation) + "\x00" + string(line.Pool)
	sum, _ := t.usage.open.get(key)
	sum.Organisation, sum.Pool = line.Organisation, line.Pool
	sum.Requests += line.Requests
	sum.PromptTokens += line.PromptTokens
	sum.CachedTokens += line.CachedTokens
	sum.OutputTokens += line.OutputTokens
	t.usage.open.set(key, sum)
}

// expireSequence removes the sequence of an incarnation that is not a member
// and has sent no batch for departedTTL. Others are checked again later.
func (t *Tables) expireSequence(i expiryItem) {
	known, ok := t.usage.sequences.get(i.key)
	if !ok || known.CheckMS != i.timeMS {
		return
	}
	host, incarnation, _ := strings.Cut(i.key, "\x00")
	silent := known.TimeMS+departedTTL.Milliseconds() <= t.timeMS
	if silent && !t.isMember(model.HostID(host), model.Incarnation(incarnation)) {
		t.usage.sequences.delete(i.key)
		return
	}
	known.CheckMS = t.timeMS
	t.usage.sequences.set(i.key, known)
	t.expiry.batches.push(t.timeMS, i.key)
}

// ReportID is the id of the report of one window of a usage shard.
func ReportID(shard model.ShardName, windowStartMS int64) string {
	return fmt.Sprintf("%s@%d", shard, windowStartMS)
}

// applyUsageSeal closes the open window of a usage shard.
func (t *Tables) applyUsageSeal(r *logrec.Record, body *logrec.UsageSeal, at position) *void {
	if v := t.requireHolder(r); v != nil {
		return v
	}
	shard := string(r.Shard)
	if !strings.HasPrefix(shard, usagePrefix) {
		return newVoid(ReasonInvalid, "not a usage shard")
	}
	last, sealedBefore := t.usage.windows.get(shard)
	if sealedBefore && body.WindowStartMS <= last.StartMS {
		return &void{reason: ReasonWindow, detail: fmt.Sprintf("the last sealed window starts at %d", last.StartMS),
			winner: &Winner{Offset: last.Offset, TimeMS: last.SealedMS}}
	}
	lines := slices.Clip(values(t.usage.open.freeze(), shard+"\x00"))
	t.usage.open.txn.DeletePrefix([]byte(shard + "\x00"))
	t.usage.windows.set(shard, windowRow{StartMS: body.WindowStartMS, SealedMS: at.timeMS, Offset: at.offset})
	if len(lines) == 0 {
		return nil
	}
	id := ReportID(r.Shard, body.WindowStartMS)
	t.usage.sealed.set(id, SealedWindow{ReportID: id, Shard: r.Shard, WindowStartMS: body.WindowStartMS,
		Fence: r.Fence, Host: r.Host, Lines: lines})
	return nil
}

func (t *Tables) applyUsageReported(_ *logrec.Record, body *logrec.UsageReported, _ position) *void {
	if _, ok := t.usage.sealed.get(body.ReportID); !ok {
		return newVoid(ReasonWindow, "no such unreported window")
	}
	t.usage.sealed.delete(body.ReportID)
	return nil
}
