package main

import (
	"bytes"
	"context"
	"errors"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"github.com/redwingpath/redwingpath/pkg/settings"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){"redwingpath": main})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata/script"})
}

// fakeSimulation records in events when it ends.
type fakeSimulation struct {
	ctx    context.Context
	events *[]string
}

func (s *fakeSimulation) PlatformAddress() string { return "http://127.0.0.1:7000" }

func (s *fakeSimulation) Wait() {
	<-s.ctx.Done()
	*s.events = append(*s.events, "simulation ended")
}

func fakeComponents(events *[]string, failure error) components {
	return components{
		run: func(ctx context.Context, s *settings.Settings, _ *zap.Logger) error {
			<-ctx.Done()
			*events = append(*events, "host ended at "+s.Platform.Log)
			return failure
		},
		simulate: func(ctx context.Context, _ simulationConfig) (simulation, error) {
			return &fakeSimulation{ctx, events}, nil
		},
	}
}

// Guards against a simulation that stops while the host still needs it for its
// graceful shutdown.
func TestDevEndsTheSimulationLast(t *testing.T) {
	var events []string
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	var out bytes.Buffer
	code := run(ctx, []string{"dev", "-log-level", "error"}, &out, &out, fakeComponents(&events, nil))
	require.Equal(t, exitDone, code, out.String())
	assert.Equal(t, []string{"host ended at http://127.0.0.1:7000", "simulation ended"}, events)
	assert.Contains(t, out.String(), "REDWINGCTL_TOKEN=rwo_")
}

// Guards against a failed host that exits with the code of a graceful shutdown, and
// against a host that starts with invalid flags.
func TestExitCodes(t *testing.T) {
	var events []string
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	parts := fakeComponents(&events, errors.New("port in use"))
	for want, args := range map[int][]string{
		exitFailed:   {"dev", "-log-level", "error"},
		exitSettings: {"dev", "-callers", "localhost"},
		exitUsage:    {"serve"},
		exitDone:     {"serve", "-h"},
	} {
		var out bytes.Buffer
		assert.Equal(t, want, run(ctx, args, &out, &out, parts), "%v: %s", args, out.String())
	}
}
