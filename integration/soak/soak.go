// Package soak runs a deployment under load, injects random faults and operators'
// changes, and checks all promises on the recording. The seed of a run determines
// its random choices.
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/integration/load"
	"github.com/redwingpath/redwingpath/standin/record"
)

// Config describes a soak run.
type Config struct {
	Seed     uint64
	Duration time.Duration
	Preset   harness.Preset
	Sizes    harness.Sizes
	// Share is the load as a share of the organisations' rates.
	Share float64
	// Dir is the directory for settings and output files.
	Dir string
	// Log receives one line for each step of the run.
	Log io.Writer
}

// Result is the result of a soak run.
type Result struct {
	Events   int
	Calls    int
	Outcomes map[check.Outcome]int
	// Kinds counts the events by kind, so that a run without orders or reports can be
	// recognised.
	Kinds      map[record.Kind]int
	Violations []check.Violation
}

const (
	startTimeout = time.Minute
	// settleTime lets the deployment recover before the run ends, so that the
	// effects of the last step are recorded, too.
	settleTime = 5 * time.Second
	// maxStepInterval is the longest time between two steps.
	maxStepInterval = 2 * time.Second
)

// Run does a soak run and saves its recording. An error means that the run itself
// failed; violations of promises are part of the result.
func Run(ctx context.Context, b harness.Binaries, c Config) (*Result, error) {
	d, err := harness.New(ctx, b, c.Preset.Config(c.Dir, c.Sizes, c.Seed))
	if err != nil {
		return nil, err
	}
	defer d.Close()
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.StartHosts(starting); err != nil {
		return nil, err
	}
	if err := injectUnderLoad(ctx, d, &c); err != nil {
		return nil, err
	}
	r, err := d.Recording(ctx)
	if err != nil {
		return nil, err
	}
	if err := saveRecording(r, filepath.Join(c.Dir, recordingFile)); err != nil {
		return nil, err
	}
	return evaluate(r), nil
}

// recordingFile is the file for the recording, with which a violation can be
// examined and the checkers can be run again.
const recordingFile = "recording.json"

func saveRecording(r *check.Recording, path string) error {
	data, err := json.Marshal(r)
	if err != nil {
		return eris.Wrap(err, "encode recording")
	}
	return eris.Wrap(os.WriteFile(path, data, 0o644), "save recording")
}

func evaluate(r *check.Recording) *Result {
	result := &Result{Events: len(r.Events), Calls: len(r.Calls), Outcomes: map[check.Outcome]int{}, Kinds: map[record.Kind]int{}}
	for i := range r.Events {
		result.Kinds[r.Events[i].Kind]++
	}
	for _, call := range r.Calls {
		result.Outcomes[call.Outcome]++
	}
	result.Violations = check.All(r)
	return result
}

func injectUnderLoad(ctx context.Context, d *harness.Deployment, c *Config) error {
	loading, stop := context.WithCancel(ctx)
	var running sync.WaitGroup
	running.Go(func() {
		load.NewGenerator(d.LoadConfig(c.Seed, c.Share, load.DefaultMix()), d.Client).Run(loading)
	})
	defer func() {
		stop()
		running.Wait()
	}()
	s := newInjector(d, c)
	random := rand.New(rand.NewPCG(c.Seed, 3))
	deadline := time.Now().Add(c.Duration)
	for time.Now().Before(deadline) && ctx.Err() == nil {
		time.Sleep(min(time.Duration(random.Int64N(int64(maxStepInterval))), time.Until(deadline)))
		if err := s.next(ctx, random); err != nil {
			return err
		}
	}
	if err := s.undoAll(ctx); err != nil {
		return err
	}
	time.Sleep(settleTime)
	return ctx.Err()
}

// Report writes a result as text.
func (r *Result) Report(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%d events %v\n", r.Events, r.Kinds)
	_, _ = fmt.Fprintf(w, "%d calls %v\n", r.Calls, r.Outcomes)
	_, _ = fmt.Fprintf(w, "%d violations\n", len(r.Violations))
	for _, v := range r.Violations {
		_, _ = fmt.Fprintln(w, v.Error())
	}
}
