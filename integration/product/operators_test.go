package product

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os/exec"
	"strings"
	"sync"
	"testing"

	"github.com/oklog/ulid/v2"
	"github.com/stretchr/testify/require"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/pkg/state"
)

// Exit codes of redwingctl, as docs/operators.md documents them.
const (
	exitSuccess      = 0
	exitMalformed    = 3
	exitConflict     = 4
	exitUnauthorized = 7
)

func runHostProgram(t *testing.T, args ...string) (output string, code int) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stopTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, binaries.Host, args...)
	out, err := command.CombinedOutput()
	require.NotNil(t, command.ProcessState, err)
	return string(out), command.ProcessState.ExitCode()
}

// Guards against concurrent changes of which one is lost without an error, a
// conflict that does not name the winner, and changes by a malformed script or with
// a wrong token.
func TestOperators(t *testing.T) {
	d, _ := start(t, example.Config{Example: example.Duelas})
	t.Run("conflict", func(t *testing.T) { testConflict(t, d) })
	t.Run("malformed", func(t *testing.T) {
		r, err := d.Hosts[0].Control(timeoutContext(t), "run", "change org casa-toledo rate -1 weird 2\nfrob x")
		require.NoError(t, err)
		require.Equal(t, exitMalformed, r.Code)
		for _, finding := range []string{`malformed rate "-1"`, `unknown attribute "weird"`, `unknown verb "frob"`} {
			require.Contains(t, r.Err, finding)
		}
	})
	t.Run("wrong token", func(t *testing.T) {
		r, err := d.Hosts[0].ControlAs(timeoutContext(t), "rwo_nobody", "run", "change org casa-toledo rate 99")
		require.NoError(t, err)
		require.Equal(t, exitUnauthorized, r.Code, r.Err)
		require.NotContains(t, runControl(t, d.Hosts[0], "run", "-o", "json", "show orgs"), `"99"`)
	})
}

// testConflict changes the same version of an entity through two hosts at the same
// time. One change must succeed and the other one must report the conflict.
func testConflict(t *testing.T, d *example.Deployment) {
	version := organisationVersion(t, d.Hosts[0], "casa-toledo")
	require.Equal(t, version, organisationVersion(t, d.Hosts[1], "casa-toledo"))
	rates := []string{"41", "42"}
	results := make([]example.Result, len(rates))
	errs := make([]error, len(rates))
	var group sync.WaitGroup
	for i, rate := range rates {
		group.Go(func() {
			script := fmt.Sprintf("change org casa-toledo rate %s if version %s", rate, version)
			results[i], errs[i] = d.Hosts[i].Control(timeoutContext(t), "run", script)
		})
	}
	group.Wait()
	require.NoError(t, errs[0])
	require.NoError(t, errs[1])
	winner, loser := 0, 1
	if results[0].Code != exitSuccess {
		winner, loser = 1, 0
	}
	require.Equal(t, exitSuccess, results[winner].Code, results[winner].Err)
	require.Equal(t, exitConflict, results[loser].Code, results[loser].Err)
	require.Contains(t, results[loser].Err, `"rate":`+rates[winner], "the winner's change is shown")
	require.Contains(t, results[loser].Err, "by operator lucia")
	for _, h := range d.Hosts {
		require.Eventually(t, func() bool {
			r, err := h.Control(t.Context(), "run", "show orgs")
			return err == nil && strings.Contains(tableRow(r.Out, "casa-toledo"), " "+rates[winner]+" ")
		}, changeTimeout, pollInterval)
	}
}

// organisationVersion returns the last column of the organisation's row.
func organisationVersion(t *testing.T, h *example.Host, name string) string {
	fields := strings.Fields(tableRow(runControl(t, h, "run", "show orgs"), name))
	require.NotEmpty(t, fields)
	return fields[len(fields)-1]
}

func tableRow(table, name string) string {
	for line := range strings.Lines(table) {
		if strings.HasPrefix(strings.TrimSpace(line), name+" ") {
			return line
		}
	}
	return ""
}

// Guards against a host that stops serving because the log holds a record of a newer
// schema version, as during a rolling upgrade, or a damaged entry. The host must skip
// and count what it cannot decode.
func TestUnreadableLogRecords(t *testing.T) {
	d := startSimulators(t, example.Config{Example: example.Duelas})
	log := platform.NewClient(platform.ClientConfig{Address: d.Addresses.Platform})
	newer := logrec.Record{
		Version: logrec.SchemaVersion + 1, ID: ulid.Make().String(), Kind: logrec.KindConfig,
		Host: "duelas-9", Incarnation: "i", Body: json.RawMessage(`{"form":"new"}`),
	}
	data, err := logrec.Encode([]logrec.Record{newer})
	require.NoError(t, err)
	for _, entry := range [][]byte{data, []byte(`{"not":"records"`), bytes.Repeat([]byte{0xff}, 64), data} {
		_, err := log.Append(timeoutContext(t), entry)
		require.NoError(t, err)
	}
	require.NoError(t, d.StartHosts(timeoutContext(t)))
	keys, err := d.Configure(timeoutContext(t), d.Hosts[0])
	require.NoError(t, err)
	runControl(t, d.Hosts[0], "run", "change shop roble-centro hours always")
	for _, h := range d.Hosts {
		response, err := d.AwaitChat(timeoutContext(t), h, keys["roble-1"], d.ChatBody(false, 1, "lot"))
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.Status)
		var dump struct {
			Control struct {
				Counters state.Counters `json:"counters"`
			} `json:"control"`
		}
		require.NoError(t, json.Unmarshal([]byte(runControl(t, h, "dump")), &dump))
		require.GreaterOrEqual(t, dump.Control.Counters.Malformed, uint64(2))
		require.GreaterOrEqual(t, dump.Control.Counters.Void[state.ReasonUnknownVersion], uint64(1))
	}
}

// Guards against alarms on metrics that hosts do not report: docs/operators.md relies
// on the refusals by code, the counters and the log offset.
func TestMetricsOfAlarms(t *testing.T) {
	d, _ := start(t, example.Config{Example: example.Duelas})
	response, err := d.Call(timeoutContext(t), d.Hosts[0].Callers+chatPath, "{}", example.Header("rw_nobody"))
	require.NoError(t, err)
	requireRejected(t, http.StatusUnauthorized, model.CodeInvalidKey, response)
	var metrics struct {
		Refusals  map[string]float64 `json:"refusals"`
		Counters  map[string]float64 `json:"counters"`
		LogOffset map[string]float64 `json:"log_offset"`
	}
	require.NoError(t, json.Unmarshal([]byte(runControl(t, d.Hosts[0], "dump", "-metrics")), &metrics))
	require.Equal(t, map[string]float64{string(model.CodeInvalidKey): 1}, metrics.Refusals)
	require.InDelta(t, 1, metrics.Counters["refused"], 0)
	require.Len(t, metrics.LogOffset, 1)
	for _, offset := range metrics.LogOffset {
		require.Positive(t, offset)
	}
}
