package atmostonce

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// KeyStep is the next step for a call that carries an idempotency key.
type KeyStep int

// Steps.
const (
	// KeyClaim: append a claim to the log, read it back and decide again.
	KeyClaim KeyStep = iota
	// KeyRun: this request made the first claim; run it.
	KeyRun
	// KeyReplay: respond with the recorded outcome.
	KeyReplay
	// KeyTruncated: the call ran, but its response was too large to keep.
	KeyTruncated
	// KeyInProgress: another request with the key is running.
	KeyInProgress
	// KeyUnknown: a request with the key may have run.
	KeyUnknown
	// KeyMismatch: the key was used for a different call.
	KeyMismatch
)

var keyStepNames = [...]string{"claim", "run", "replay", "truncated", "in_progress", "unknown", "mismatch"}

// String implements fmt.Stringer.
func (s KeyStep) String() string {
	if s < 0 || int(s) >= len(keyStepNames) {
		return "invalid"
	}
	return keyStepNames[s]
}

// KeyCall describes a call with an idempotency key and what its host knows.
type KeyCall struct {
	RequestID model.RequestID
	// Digest covers method, path, query and body; see CallDigest.
	Digest string
	Now    time.Time
	// RunLimit is the age of a claim beyond which its request no longer runs.
	RunLimit time.Duration
	// Members are the live hosts. Whether a call ran is unknown if its claim has
	// no outcome and comes from a host that is gone.
	Members []state.Member
}

// NextKeyStep returns the next step for a call. If found is set, e is the entry of the
// call's key in the tables: the first claim in the log, or the first after a claim
// whose call is known not to have run.
func NextKeyStep(e state.IdempotencyEntry, found bool, c KeyCall) KeyStep {
	switch {
	case !found:
		return KeyClaim
	case e.Outcome != nil && e.Outcome.Ran == model.NotRun:
		return KeyClaim
	case e.Digest != c.Digest:
		return KeyMismatch
	case e.Outcome != nil:
		return outcomeStep(e.Outcome.Ran == model.WasRun, e.Outcome.Truncated)
	case e.RequestID == c.RequestID:
		return KeyRun
	case c.Now.Sub(e.ClaimedAt) > c.RunLimit || !isMember(c.Members, e):
		return KeyUnknown
	}
	return KeyInProgress
}

func outcomeStep(ran, truncated bool) KeyStep {
	switch {
	case !ran:
		return KeyUnknown
	case truncated:
		return KeyTruncated
	}
	return KeyReplay
}

func isMember(members []state.Member, e state.IdempotencyEntry) bool {
	for _, m := range members {
		if m.Host == e.Host && m.Incarnation == e.Incarnation {
			return true
		}
	}
	return false
}

// retentionMargin is the time before the end of the log's retention at which
// keys expire, so that no claim is dropped from the log while its key is valid.
const retentionMargin = time.Hour

// KeyLifetime returns how long keys are kept: keep, or the log's retention less
// one hour if that is shorter. A retention of 0 means no limit.
func KeyLifetime(keep, retention time.Duration) time.Duration {
	if retention == 0 {
		return keep
	}
	return max(0, min(keep, retention-retentionMargin))
}

// CallDigest identifies a call by its method, path with query, and body.
func CallDigest(method, target string, body []byte) string {
	return digest([]byte(method), []byte(target), body)
}

// RequestDigest identifies a model request in the counts of Suspects.
func RequestDigest(org model.OrganisationID, pool model.PoolName, body []byte) string {
	return digest([]byte(org), []byte(pool), body)
}

// digest hashes each part with its length, so that different lists of parts never
// form the same hash input.
func digest(parts ...[]byte) string {
	hash := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hex.EncodeToString(hash.Sum(nil))
}
