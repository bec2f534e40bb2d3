package state

import (
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// incarnationRow holds the newest incarnation of a host.
type incarnationRow struct {
	Incarnation model.Incarnation `json:"inc"`
	// Left is set by the host's own leave record. Such an incarnation cannot
	// join again.
	Left bool `json:"left,omitempty"`
	// DepartedMS is the log time of the departure, 0 for a member.
	DepartedMS int64 `json:"departed_ms,omitempty"`
}

// FailedMember is a member that another host declared failed. It counts towards
// the majority for FailedMemberTTL.
type FailedMember struct {
	Member
	FailedMS int64 `json:"failed_ms"`
}

type memberTables struct {
	members      table[Member]
	failed       table[FailedMember]
	incarnations table[incarnationRow]
	shards       table[Shard]
}

func newMemberTables() memberTables {
	return memberTables{
		members:      newTable[Member](),
		failed:       newTable[FailedMember](),
		incarnations: newTable[incarnationRow](),
		shards:       newTable[Shard](),
	}
}

// applyJoin makes the writer a member. A second join record of the same
// incarnation marks the member as established.
func (t *Tables) applyJoin(r *logrec.Record, body *logrec.Join, at position) *void {
	if r.Host == "" || r.Incarnation == "" {
		return newVoid(ReasonInvalid, "join without host or incarnation")
	}
	host := string(r.Host)
	known, ok := t.incarnations.get(host)
	switch {
	case ok && r.Incarnation < known.Incarnation:
		return newVoid(ReasonSuperseded, "a later incarnation of the host has joined")
	case ok && r.Incarnation == known.Incarnation && known.Left:
		return newVoid(ReasonSuperseded, "this incarnation has left")
	case ok && r.Incarnation != known.Incarnation:
		t.dropShards(r.Host)
	}
	member, isMember := t.members.get(host)
	if isMember && member.Incarnation == r.Incarnation {
		member.Established = true
		t.members.set(host, member)
		return nil
	}
	member = Member{
		Host: r.Host, Incarnation: r.Incarnation, PeerAddress: body.PeerAddress,
		Region: body.Region, DataCentre: body.DataCentre, JoinedAt: at.offset,
		JoinedMS: at.timeMS, VoterSince: at.offset,
	}
	if earlier, ok := t.voter(host); ok {
		member.VoterSince, member.Established = earlier.VoterSince, earlier.Established
	}
	t.incarnations.set(host, incarnationRow{Incarnation: r.Incarnation})
	t.failed.delete(host)
	t.members.set(host, member)
	return nil
}

// voter returns a host that counts towards the majority, as a member or as a
// failed member.
func (t *Tables) voter(host string) (Member, bool) {
	if m, ok := t.members.get(host); ok {
		return m, true
	}
	f, ok := t.failed.get(host)
	return f.Member, ok
}

func (t *Tables) applyLeave(r *logrec.Record, body *logrec.Leave, at position) *void {
	host := string(body.Host)
	member, ok := t.members.get(host)
	if !ok || member.Incarnation != body.Incarnation {
		return newVoid(ReasonNotMember, "the leaving incarnation is not a member")
	}
	own := r.Host == body.Host && r.Incarnation == body.Incarnation
	if !own && !t.isMember(r.Host, r.Incarnation) {
		return newVoid(ReasonNotMember, "only a member can declare another host failed")
	}
	t.members.delete(host)
	t.incarnations.set(host, incarnationRow{Incarnation: body.Incarnation, Left: own, DepartedMS: at.timeMS})
	t.expiry.departures.push(at.timeMS, host)
	t.dropShards(body.Host)
	if !own {
		t.failed.set(host, FailedMember{Member: member, FailedMS: at.timeMS})
		t.expiry.failures.push(at.timeMS, host)
	}
	return nil
}

func (t *Tables) isMember(host model.HostID, incarnation model.Incarnation) bool {
	m, ok := t.members.get(string(host))
	return ok && m.Incarnation == incarnation
}

// dropShards leaves the shards of a host without a holder, because the
// incarnation that held them has ended.
func (t *Tables) dropShards(host model.HostID) {
	for _, s := range values(t.shards.freeze(), "") {
		if s.Host == host {
			t.shards.set(string(s.Name), Shard{Name: s.Name, Fence: s.Fence})
		}
	}
}

// applyClaim makes the claimant the holder if the claim supersedes the claim in
// force. The offset of the entry becomes the fencing token.
func (t *Tables) applyClaim(r *logrec.Record, body *logrec.Claim, at position) *void {
	if !validShard(body.Shard) {
		return newVoid(ReasonInvalid, "no such shard")
	}
	if !t.isMember(r.Host, r.Incarnation) {
		return newVoid(ReasonNotMember, "the claimant is not a member")
	}
	current, _ := t.shards.get(string(body.Shard))
	if body.Supersedes != current.Fence || at.offset <= current.Fence {
		return &void{reason: ReasonSuperseded, detail: "another claim came first",
			winner: &Winner{Offset: current.Fence, Host: current.Host}}
	}
	t.shards.set(string(body.Shard), Shard{
		Name: body.Shard, Host: r.Host, Incarnation: r.Incarnation,
		Fence: at.offset, Predecessor: current.Fence, HandedOver: current.Released,
	})
	return nil
}

func (t *Tables) applyRelease(r *logrec.Record, _ *logrec.Release, _ position) *void {
	if v := t.requireHolder(r); v != nil {
		return v
	}
	t.shards.set(string(r.Shard), Shard{Name: r.Shard, Fence: r.Fence, Released: true})
	return nil
}

// requireHolder checks that the writer held the shard when the record was appended.
func (t *Tables) requireHolder(r *logrec.Record) *void {
	s, ok := t.shards.get(string(r.Shard))
	if ok && s.Fence == r.Fence && s.Host == r.Host && s.Incarnation == r.Incarnation && r.Host != "" {
		return nil
	}
	return &void{reason: ReasonNotHolder, detail: "the writer does not hold the shard",
		winner: &Winner{Offset: s.Fence, Host: s.Host}}
}
