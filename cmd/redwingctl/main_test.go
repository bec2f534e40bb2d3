package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/pkg/placement"
	"github.com/redwingpath/redwingpath/pkg/placequery"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"redwingctl": main})
}

// Guards against a change of the exit codes and output on which operators' scripts
// rely.
func TestScripts(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(fakeHost))
	// Scripts run in parallel, after this function has returned.
	t.Cleanup(server.Close)
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script",
		Setup: func(env *testscript.Env) error {
			env.Setenv("REDWINGCTL_ADDRESS", server.URL)
			env.Setenv("REDWINGCTL_TOKEN", "secret")
			env.Setenv("REDWINGCTL_METRICS_ADDRESS", server.URL)
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits": checkExitCode,
		},
	})
}

// checkExitCode implements the script command "exits CODE COMMAND ...", which runs a
// command and checks its exit code.
func checkExitCode(ts *testscript.TestScript, _ bool, args []string) {
	err := ts.Exec(args[1], args[2:]...)
	want := args[0]
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != want {
		ts.Fatalf("exit code %s, want %s", got, want)
	}
}

// fakeHost chooses its response by words in the script.
func fakeHost(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == operator.PathReady {
		respond(w, http.StatusServiceUnavailable, operator.ReadyResponse{Reason: "shutting down"})
		return
	}
	if r.URL.Path == operator.PathDump {
		respond(w, http.StatusOK, map[string]int{"tick": 7})
		return
	}
	if r.URL.Path == placequery.Path {
		fakePlace(w, r)
		return
	}
	var request operator.RunRequest
	_ = json.NewDecoder(r.Body).Decode(&request)
	failures := map[string]operator.Error{
		"conflicting":  {Status: http.StatusConflict, Code: operator.CodeConflict, Message: "conflict: rosa won"},
		"minority":     {Status: http.StatusServiceUnavailable, Code: operator.CodeNotAccepted, Message: "not accepted"},
		"unsure":       {Status: http.StatusGatewayTimeout, Code: operator.CodeOutcomeUnknown, Message: "outcome unknown"},
		"unauthorized": {Status: http.StatusUnauthorized, Code: operator.CodeUnauthorized, Message: "wrong token"},
	}
	for word, failure := range failures {
		if strings.Contains(request.Script, word) {
			respond(w, failure.Status, map[string]any{"error": failure})
			return
		}
	}
	if strings.Contains(request.Script, "hangup") {
		panic(http.ErrAbortHandler)
	}
	respond(w, http.StatusOK, operator.RunResponse{Tables: []operator.Table{{
		Columns: []string{"host", "data-centre"}, Rows: [][]string{{"h1", "armenia"}, {"h22", ""}},
	}}})
}

// fakePlace answers a placement query; the path /none/ has no route.
func fakePlace(w http.ResponseWriter, r *http.Request) {
	query, err := placequery.ParseRaw(r.URL.RawQuery)
	var field *placequery.FieldError
	if err == nil && query.Path == "/none/" {
		err = &placequery.FieldError{Field: placequery.FieldPath, Message: "no route matches"}
	}
	if errors.As(err, &field) {
		respond(w, http.StatusBadRequest, placequery.Failure{Error: *field})
		return
	}
	if query.Path == "/starting/" {
		respond(w, http.StatusServiceUnavailable, placequery.Failure{Error: placequery.FieldError{Message: "no configuration is known yet"}})
		return
	}
	plan := placequery.Plan{Run: "i-7", PredictedMS: 210, Uncached: query.PromptTokens}
	respond(w, http.StatusOK, placequery.Answer{
		Route: "say", Service: "model", Plan: &plan, Plans: []placequery.Plan{plan},
		Servers: []placequery.Server{{ID: "i-7", KVTokens: 444000}, {ID: "i-8", Excluded: placement.ExcludedLeaving}},
	})
}

func respond(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// Guards against a session that ends at the first error, and against lines that
// are lost or joined.
func TestInteractiveSession(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	server := httptest.NewServer(http.HandlerFunc(fakeHost))
	defer server.Close()
	var out, errOut bytes.Buffer
	std := &streams{
		in:  strings.NewReader("show hosts\nfrob\nchange org conflicting \\\nrate 5\nshow hosts\nexit\nshow hosts\n"),
		out: &out, err: &errOut, interactive: true,
	}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	code := run(ctx, []string{"query", "-address", server.URL}, std)
	require.Equal(t, exitDone, code)
	assert.Equal(t, 2, strings.Count(out.String(), "armenia"))
	assert.Equal(t, 1, strings.Count(out.String(), continuePrompt))
	assert.Contains(t, errOut.String(), "1:1: unknown verb")
	assert.Contains(t, errOut.String(), "rosa won")
}

// Guards against a command without help.
func TestEveryCommandHasHelp(t *testing.T) {
	for _, name := range []string{"run", "query", "explain", "dump", "status", "place", "keygen"} {
		var errOut bytes.Buffer
		code := run(t.Context(), []string{name, "-h"}, &streams{in: os.Stdin, out: &bytes.Buffer{}, err: &errOut})
		assert.Equal(t, exitDone, code, name)
		assert.Contains(t, errOut.String(), "redwingctl "+name, name)
	}
}
