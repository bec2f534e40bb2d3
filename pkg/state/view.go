// Package state holds the tables that result from replaying the log, and
// immutable snapshots of them for the goroutines that serve requests.
package state

import (
	"time"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Member is a host that has joined and not left.
type Member struct {
	Host        model.HostID       `json:"host"`
	Incarnation model.Incarnation  `json:"inc"`
	PeerAddress string             `json:"peer_address"`
	Region      model.RegionID     `json:"region"`
	DataCentre  model.DataCentreID `json:"data_centre"`
	JoinedAt    model.Offset       `json:"joined_at"`
	// JoinedMS is the log time of the join.
	JoinedMS int64 `json:"joined_ms"`
	// VoterSince is the offset since which the host, in any incarnation, has
	// counted towards the majority without interruption.
	VoterSince model.Offset `json:"voter_since"`
	// Established is set once the host, in this or an earlier incarnation, has
	// received responses from a majority since VoterSince; see package freshness.
	Established bool `json:"established,omitempty"`
}

// Shard is the state of a shard, which one host at a time can hold to act on
// its part of the system. Host is empty while the shard has no holder.
type Shard struct {
	Name        model.ShardName   `json:"name"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
	// Fence is the offset of the claim in force, 0 if the shard was never claimed.
	Fence model.Offset `json:"fence"`
	// Predecessor is the offset of the claim that the claim in force superseded,
	// 0 for none.
	Predecessor model.Offset `json:"predecessor,omitempty"`
	// Released is set while the shard has no holder because the last one
	// released it. HandedOver is set once the next holder has claimed a
	// released shard. A holder stops acting before it writes the release.
	Released   bool `json:"released,omitempty"`
	HandedOver bool `json:"handed_over,omitempty"`
}

// OpenIntent is an intent without a final outcome.
type OpenIntent struct {
	logrec.Intent
	Shard       model.ShardName   `json:"shard"`
	Fence       model.Offset      `json:"fence"`
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"inc"`
	Offset      model.Offset      `json:"offset"`
	// Unknown is set once an outcome record has reported an unknown result.
	Unknown bool `json:"unknown,omitempty"`
}

// IdempotencyEntry is a claimed idempotency key. Outcome is nil until the
// winner of the key has recorded one.
type IdempotencyEntry struct {
	logrec.IdempotencyClaim
	Host        model.HostID               `json:"host"`
	Incarnation model.Incarnation          `json:"inc"`
	ClaimedAt   time.Time                  `json:"claimed_at"`
	Outcome     *logrec.IdempotencyOutcome `json:"outcome,omitempty"`
}

// SealedWindow is a usage window with its final usage.
type SealedWindow struct {
	ReportID      string             `json:"report_id"`
	Shard         model.ShardName    `json:"shard"`
	WindowStartMS int64              `json:"window_start_ms"`
	Fence         model.Offset       `json:"fence"`
	Host          model.HostID       `json:"host"`
	Lines         []logrec.UsageLine `json:"lines"`
}

// View is read access to one immutable snapshot of the tables. The offset that
// a lookup returns is the entity's version, the offset of its last change.
type View interface {
	// Offset is the last applied log offset.
	Offset() model.Offset

	Organisation(id model.OrganisationID) (model.Organisation, model.Offset, bool)
	Key(id model.KeyID) (model.Key, model.Offset, bool)
	// KeyByDigest returns a key, revoked or not, by its hexadecimal digest.
	KeyByDigest(digest string) (model.Key, bool)
	Shop(id model.ShopID) (model.Shop, model.Offset, bool)
	Offer(id string) (model.Offer, model.Offset, bool)
	// Offers lists the offers of a shop.
	Offers(shop model.ShopID) []model.Offer
	// ShopsOf lists the shops of an organisation.
	ShopsOf(org model.OrganisationID) []model.ShopID
	Route(id model.RouteID) (model.Route, model.Offset, bool)
	// MatchRoute returns the route with the longest prefix of the path that
	// ends at a path segment boundary.
	MatchRoute(path string) (model.Route, bool)
	Pool(name model.PoolName) (model.Pool, model.Offset, bool)
	Drain(b model.BackendID) (model.Drain, model.Offset, bool)

	Organisations() []model.Organisation
	Keys() []model.Key
	Shops() []model.Shop
	AllOffers() []model.Offer
	Routes() []model.Route
	Pools() []model.Pool
	Drains() []model.Drain

	Members() []Member
	Shard(name model.ShardName) (Shard, bool)
	Shards() []Shard
	OpenIntents() []OpenIntent
	Idempotency(org model.OrganisationID, key string) (IdempotencyEntry, bool)
	// Crashes counts the crashes of a request digest that were recorded within
	// the expiry time before now.
	Crashes(digest string, now time.Time) int
	// Unreported lists the sealed windows whose reports the platform has not
	// accepted yet.
	Unreported() []SealedWindow
}
