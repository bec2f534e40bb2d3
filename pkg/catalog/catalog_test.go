package catalog

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/pkg/model"
)

func example() *Catalog {
	return New(Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/v/", Split: []ServiceWeight{{Service: "s", Weight: 1}}},
			{Name: "long", Host: "A.example", Prefix: "/v/w/", Split: []ServiceWeight{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}},
			{Name: "other", Host: "b.example", Prefix: "/"},
		},
		Services:      []Service{{Name: "s"}, {Name: "t"}},
		Organisations: []Organisation{{ID: "o", Keys: []string{"k1", "k2"}}},
	})
}

func TestRouteHasTheLongestPrefixOfItsHost(t *testing.T) {
	c := example()
	for _, tc := range []struct{ host, path, want string }{
		{"a.example", "/v/x", "short"},
		{"a.example", "/v/w/x", "long"},
		{"a.example:8080", "/v/w/", "long"},
		{"A.EXAMPLE", "/v/w", "short"},
		{"b.example", "/anything", "other"},
	} {
		r := c.Route(tc.host, tc.path)
		require.NotNil(t, r, tc.path)
		assert.Equal(t, tc.want, r.Name, tc.host+tc.path)
	}
	assert.Nil(t, c.Route("a.example", "/v"), "a prefix ends with a slash")
	assert.Nil(t, c.Route("c.example", "/"))
}

func TestKeysFindTheirOrganisation(t *testing.T) {
	c := example()
	require.NotNil(t, c.Key("k2"))
	assert.Equal(t, model.OrganisationID("o"), c.Key("k2").ID)
	assert.Nil(t, c.Key(""))
	assert.Nil(t, c.Key("k3"))
}

func TestPickServiceFollowsTheWeights(t *testing.T) {
	r := example().Route("a.example", "/v/w/")
	assert.Equal(t, model.PoolName("s"), r.PickService(0))
	assert.Equal(t, model.PoolName("s"), r.PickService(0.89))
	assert.Equal(t, model.PoolName("t"), r.PickService(0.91))
	assert.Equal(t, model.PoolName(""), (&Route{}).PickService(0.5))
}

func TestOnlyIdempotentAndResumableRequestsAreRepeatable(t *testing.T) {
	assert.True(t, (&Route{Kind: Idempotent}).Repeatable())
	assert.True(t, (&Route{Kind: Streaming, Resumable: true}).Repeatable())
	assert.False(t, (&Route{Kind: Streaming}).Repeatable())
	assert.False(t, (&Route{Kind: NonIdempotent, Resumable: true}).Repeatable())
}
