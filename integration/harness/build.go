// Package harness runs deployments of real processes on loopback: the simulated
// components, entry hosts behind TCP proxies that can cut their connections, and a
// recording of the injected faults and of their effects.
package harness

import (
	"context"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"
)

// Binaries are the programs that a deployment runs.
type Binaries struct {
	Host    string
	Control string
	StandIn string
}

// buildTimeout limits the build of one program.
const buildTimeout = 5 * time.Minute

// Build compiles the programs into a directory.
func Build(ctx context.Context, dir string) (Binaries, error) {
	b := Binaries{
		Host:    filepath.Join(dir, "redwingpath"),
		Control: filepath.Join(dir, "redwingctl"),
		StandIn: filepath.Join(dir, "standin"),
	}
	packages := map[string]string{
		b.Host:    "github.com/redwingpath/redwingpath/cmd/redwingpath",
		b.Control: "github.com/redwingpath/redwingpath/cmd/redwingctl",
		b.StandIn: "github.com/redwingpath/redwingpath/standin/cmd/standin",
	}
	for out, name := range packages {
		if err := build(ctx, out, name); err != nil {
			return b, err
		}
	}
	return b, nil
}

func build(ctx context.Context, out, name string) error {
	ctx, cancel := context.WithTimeout(ctx, buildTimeout)
	defer cancel()
	message, err := exec.CommandContext(ctx, "go", "build", "-o", out, name).CombinedOutput()
	return eris.Wrapf(err, "build %s: %s", name, message)
}
