package state

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// Numbers of shards across which organisations are distributed: OrgShardCount
// for rate coordination, UsageShardCount for usage reports.
const (
	OrgShardCount   = 16
	UsageShardCount = 4
)

// CheckpointShard is the shard whose holder writes checkpoints.
const CheckpointShard model.ShardName = "checkpoint"

const (
	orgPrefix   = "org/"
	usagePrefix = "usage/"
	fleetPrefix = "fleet/"
)

// OrgShard is the shard whose holder coordinates the rate limit of an
// organisation.
func OrgShard(org model.OrganisationID) model.ShardName {
	return numberedShard(orgPrefix, xxhash.Sum64String(string(org))%OrgShardCount)
}

// UsageShard is the shard whose holder seals the usage windows of an organisation.
func UsageShard(org model.OrganisationID) model.ShardName {
	return numberedShard(usagePrefix, xxhash.Sum64String(string(org))%UsageShardCount)
}

// FleetShard is the shard whose holder sends orders to the fleet of a region.
func FleetShard(region model.RegionID) model.ShardName {
	return model.ShardName(fleetPrefix + string(region))
}

// ShardNames lists all shards for a set of regions.
func ShardNames(regions []model.RegionID) []model.ShardName {
	names := []model.ShardName{CheckpointShard}
	for _, r := range regions {
		names = append(names, FleetShard(r))
	}
	names = append(names, OrgShardNames()...)
	for n := range uint64(UsageShardCount) {
		names = append(names, numberedShard(usagePrefix, n))
	}
	return names
}

// OrgShardNames lists the shards whose holders coordinate rate limits.
func OrgShardNames() []model.ShardName {
	names := make([]model.ShardName, 0, OrgShardCount)
	for n := range uint64(OrgShardCount) {
		names = append(names, numberedShard(orgPrefix, n))
	}
	return names
}

func numberedShard(prefix string, n uint64) model.ShardName {
	return model.ShardName(prefix + strconv.FormatUint(n, 10))
}

func validShard(name model.ShardName) bool {
	text := string(name)
	switch {
	case name == CheckpointShard:
		return true
	case strings.HasPrefix(text, fleetPrefix):
		return len(text) > len(fleetPrefix)
	case strings.HasPrefix(text, orgPrefix):
		return validShardNumber(text[len(orgPrefix):], OrgShardCount)
	case strings.HasPrefix(text, usagePrefix):
		return validShardNumber(text[len(usagePrefix):], UsageShardCount)
	default:
		return false
	}
}

func validShardNumber(text string, limit uint64) bool {
	n, err := strconv.ParseUint(text, 10, 64)
	return err == nil && n < limit && strconv.FormatUint(n, 10) == text
}

// FleetRegion returns the region of a fleet shard; ok is false for other
// shards.
func FleetRegion(name model.ShardName) (region model.RegionID, ok bool) {
	text, ok := strings.CutPrefix(string(name), fleetPrefix)
	return model.RegionID(text), ok
}

// IsOrgShard reports whether a shard coordinates the rate limits of
// organisations.
func IsOrgShard(name model.ShardName) bool { return strings.HasPrefix(string(name), orgPrefix) }

// IsUsageShard reports whether a shard seals usage windows.
func IsUsageShard(name model.ShardName) bool { return strings.HasPrefix(string(name), usagePrefix) }
