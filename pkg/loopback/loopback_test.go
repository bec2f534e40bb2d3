package loopback

import (
	"net"
	"os"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a host that cannot listen on its address, since another host or an
// outgoing connection took the port between its choice and the start of the host.
func TestAddressesAreDistinctAndBelowTheEphemeralPorts(t *testing.T) {
	raw, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	require.NoError(t, err)
	ephemeral, err := strconv.Atoi(strings.Fields(string(raw))[0])
	require.NoError(t, err)
	seen := map[string]bool{}
	for range 300 {
		addresses, err := Addresses(3)
		require.NoError(t, err)
		for _, a := range addresses {
			require.False(t, seen[a], "%s was returned twice", a)
			seen[a] = true
			_, port, err := net.SplitHostPort(a)
			require.NoError(t, err)
			n, err := strconv.Atoi(port)
			require.NoError(t, err)
			assert.Less(t, n, ephemeral)
		}
	}
}

func TestPortInUseIsSkipped(t *testing.T) {
	first, err := Address()
	require.NoError(t, err)
	_, port, err := net.SplitHostPort(first)
	require.NoError(t, err)
	n, err := strconv.Atoi(port)
	require.NoError(t, err)
	portCounter.Store(uint32(n - firstPort - 1))
	l, err := net.Listen("tcp4", first)
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	second, err := Address()
	require.NoError(t, err)
	assert.NotEqual(t, first, second)
}
