package mesh

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/mirror"
)

// A relay with a link of 10 Mbit/s must pass a configuration of 2,000 routes on to 16
// hosts within two seconds.
func TestLargeConfigurationFitsTheLinkOfASmallRelay(t *testing.T) {
	type route struct {
		Name, Host, Prefix, Kind, Service string
		Timeout                           int
	}
	var routes []route
	for i := range 2000 {
		hash := uint32(i) * 2654435761
		routes = append(routes, route{fmt.Sprintf("r-%x", hash), "ficu95.example", fmt.Sprintf("/%x/", hash), "non_idempotent", "huvo11a", 5000})
	}
	value, err := json.Marshal(routes)
	require.NoError(t, err)
	n := startNode(t, "a", freeAddress(t))
	n.table.Snapshot([]mirror.Record{{Key: "config", Value: value, Offset: 4}}, 5, time.Now())
	var reply RecordsReply
	require.NoError(t, (&service{n.Mesh}).Records(RecordsArgs{Topic: "t"}, &reply))
	const bytesPerSecond = 10e6 / 8
	assert.Less(t, float64(hostsPerRelay*len(reply.Packed)), 2*bytesPerSecond, "%d bytes for a value of %d", len(reply.Packed), len(value))
	records, err := unpack(reply.Packed)
	require.NoError(t, err)
	require.Len(t, records, 1)
	assert.Equal(t, value, records[0].Value)

	n.table.Apply([]mirror.Record{{Key: "config", Value: []byte("2"), Offset: 9}}, 10, time.Now())
	require.NoError(t, (&service{n.Mesh}).Records(RecordsArgs{Topic: "t"}, &reply))
	records, err = unpack(reply.Packed)
	require.NoError(t, err)
	assert.Equal(t, "2", string(records[0].Value), "the cached reply is out of date")
	_, err = unpack([]byte("no records"))
	assert.Error(t, err)
}
