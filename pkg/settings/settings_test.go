package settings

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const minimal = `{
	// The smallest file that is accepted.
	"host": {"id": "h1", "region": "andina", "data_centre": "armenia"},
	"listen": {
		"callers": "127.0.0.1:8080",
		"operators": "127.0.0.1:8081",
		"peers": "127.0.0.1:8082",
	},
	"platform": {"address": "http://127.0.0.1:7000"},
}`

func TestDefaultsAreApplied(t *testing.T) {
	s, err := Parse("h1.jsonc", []byte(minimal))
	require.NoError(t, err)
	assert.Equal(t, 3*time.Second, s.Timings.Lease)
	assert.Equal(t, 740*time.Millisecond, s.Scheduling.FirstTokenTarget)
	assert.Equal(t, "127.0.0.1:8082", s.Listen.PeerAdvertised)
	assert.Equal(t, "http://127.0.0.1:7000", s.Platform.Usage)
	assert.Equal(t, 2*time.Second, s.Scheduling.StreamGap())
	assert.Equal(t, 1.0, s.Scheduling.Work.Cost(1000, 100))
}

// Guards against an error that hides those after it, and against findings with
// wrong positions.
func TestFindingsAreReportedTogether(t *testing.T) {
	cases := []struct {
		name, data string
		want       []string
	}{
		{"several kinds", `{
	"host": {"id": "h 1", "region": "andina", "zone": "x"},
	"listen": {"callers": "localhost:1", "operators": 7, "peers": "0.0.0.0:3"},
	"platform": {"address": "ftp://x"},
	"timings": {
		"lease": "3 s",
		"tick": "2s", /* later
		than the margin */ "lease": "1s"
	},
	"limits": {"streams": 1.5, "body_bytes": -1, "header_bytes": null},
	"operators": [{"name": "a"}, {"name": "a", "token_sha256": "00"}]
}`, []string{
			`f:2:10: host.data_centre: required`,
			`f:2:17: host.id: must not contain spaces, slashes or quotes, found "h 1"`,
			`f:2:44: host.zone: unknown field`,
			`f:3:24: listen.callers: must be an IP address and port such as "127.0.0.1:8080", found "localhost:1"`,
			`f:3:52: listen.operators: expected a string, found 7`,
			`f:3:64: listen.peers: other hosts cannot dial 0.0.0.0:3, set listen.peer_advertised`,
			`f:4:26: platform.address: must be a URL such as "http://127.0.0.1:7000", found "ftp://x"`,
			`f:6:12: timings.lease: expected a duration such as "3s" or "50ms", found "3 s"`,
			`f:7:11: timings.tick: must be less than timings.lease_margin (500ms), found 2s`,
			`f:7:11: timings.tick: must be at most 1s`,
			`f:8:22: timings.lease: field is given twice`,
			`f:10:24: limits.streams: expected a whole number, found 1.5`,
			`f:10:43: limits.body_bytes: must be more than 0, found -1`,
			`f:10:63: limits.header_bytes: expected a whole number, found null`,
			`f:11:16: operators[0].token_sha256: must be a SHA-256 digest of 64 hexadecimal digits`,
			`f:11:40: operators[1].name: operator "a" is given twice`,
			`f:11:61: operators[1].token_sha256: must be a SHA-256 digest of 64 hexadecimal digits`,
		}},
		{"wrong sections", "{\"host\": [],\n\"operators\": {}, \"listen\": \"x\", \"tls\": {\"peers\": {\"cert_file\": \"c\"}, \"callers\": null}}", []string{
			`f:1:1: platform.address: required`,
			`f:1:10: host: expected an object, found an array`,
			`f:2:14: operators: expected an array, found an object`,
			`f:2:28: listen: expected an object, found a string`,
			`f:2:50: tls.peers.key_file: required`,
			`f:2:50: tls.peers.ca_file: required, hosts authenticate each other`,
		}},
		{"syntax", "{\n  \"host\": {\n  \"id\" \"x\"}}", []string{
			`f:3:8: invalid character '"' after object name`,
		}},
		{"empty", "", []string{`f:1:1: parsing value: unexpected EOF`}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := Parse("f", []byte(c.data))
			var findings Findings
			require.ErrorAs(t, err, &findings)
			got := make([]string, len(findings))
			for i, f := range findings {
				got[i] = f.String()
			}
			assert.Equal(t, c.want, got)
		})
	}
}

func TestDistances(t *testing.T) {
	s := Scheduling{
		Distances:       []Distance{{From: "a", To: "b", Milliseconds: 0.5}},
		DefaultDistance: time.Second,
	}
	assert.Equal(t, 500*time.Microsecond, s.Latency("b", "a"))
	assert.Equal(t, time.Second, s.Latency("a", "c"))
	assert.Zero(t, s.Latency("c", "c"))
}

// Guards against example files that a new version no longer accepts.
func TestExamplesAreAccepted(t *testing.T) {
	files, err := filepath.Glob("../../examples/*/*.jsonc")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		_, err := Load(file)
		assert.NoError(t, err)
	}
}

func TestMissingFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.jsonc"))
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Guards against input that causes a panic or is rejected without a finding.
func FuzzParse(f *testing.F) {
	f.Add([]byte(minimal))
	f.Add([]byte(`{"host": {"id": 1}, "operators": [null]}`))
	f.Add([]byte("/* \n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("f", data)
		if err == nil {
			require.NotNil(t, s)
			return
		}
		var findings Findings
		require.ErrorAs(t, err, &findings)
		require.NotEmpty(t, findings)
		for _, finding := range findings {
			require.Positive(t, finding.Line)
			require.NotEmpty(t, finding.Message)
		}
	})
}
