package example

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/loopback"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/operator"
)

// Host is one entry host.
type Host struct {
	ID model.HostID
	// Callers and Operators are base URLs.
	Callers   string
	Operators string
	// Settings is the path of the settings file.
	Settings string
	Process  *Process

	deployment *Deployment
	callers    string
	operators  string
}

func (d *Deployment) hostID(i int) model.HostID {
	return model.HostID(fmt.Sprintf("%s-%d", d.names.host, i+1))
}

func (d *Deployment) addHost(i int) error {
	h := &Host{ID: d.hostID(i), deployment: d}
	var peers string
	for _, address := range []*string{&h.callers, &h.operators, &peers} {
		var err error
		if *address, err = loopback.Address(); err != nil {
			return err
		}
	}
	scheme := "http://"
	if d.names.tls {
		scheme = "https://"
	}
	h.Callers, h.Operators = scheme+h.callers, scheme+h.operators
	var err error
	h.Settings, err = d.writeSettings(h, d.names.centres[i%len(d.names.centres)], peers)
	d.Hosts = append(d.Hosts, h)
	return err
}

// Start runs the host's process.
func (h *Host) Start() error {
	var err error
	h.Process, err = startProcess(h.deployment.config.Dir, string(h.ID), h.deployment.config.Binaries.Host,
		"serve", "-settings", h.Settings)
	return err
}

// Ready waits until the host's readiness check succeeds.
func (h *Host) Ready(ctx context.Context) error {
	for {
		response, err := h.deployment.HTTP.Get(h.Operators + "/readyz")
		if err == nil {
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				return nil
			}
		}
		if !h.Process.Running() {
			return eris.Errorf("host %s exited during startup, see its log in %s", h.ID, h.deployment.config.Dir)
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return eris.Wrapf(ctx.Err(), "host %s is not ready", h.ID)
		}
	}
}

// Client returns a client of the host's operator interface.
func (h *Host) Client() (*operator.Client, error) {
	return operator.NewClient(h.Operators, h.deployment.token, h.deployment.HTTP)
}

// Result is the output and exit code of a redwingctl run.
type Result struct {
	Out  string
	Err  string
	Code int
}

// Control runs redwingctl against the host with the operator's token.
func (h *Host) Control(ctx context.Context, args ...string) (Result, error) {
	return h.ControlAs(ctx, h.deployment.token, args...)
}

// ControlAs is Control with another token.
func (h *Host) ControlAs(ctx context.Context, token string, args ...string) (Result, error) {
	command := exec.CommandContext(ctx, h.deployment.config.Binaries.Control, args...)
	command.Env = append(os.Environ(), "REDWINGCTL_ADDRESS="+h.Operators, "REDWINGCTL_TOKEN="+token)
	if h.deployment.names.tls {
		command.Env = append(command.Env, "REDWINGCTL_CA_FILE="+h.deployment.publicCAPath())
	}
	var out, errors bytes.Buffer
	command.Stdout, command.Stderr = &out, &errors
	err := command.Run()
	r := Result{Out: out.String(), Err: errors.String()}
	if command.ProcessState == nil {
		return r, eris.Wrap(err, "run redwingctl")
	}
	r.Code = command.ProcessState.ExitCode()
	return r, nil
}

// exitNotAccepted is redwingctl's exit code for a change that was not accepted.
const exitNotAccepted = 5

// ControlUntilAccepted is Control but returns an error unless redwingctl exits with 0.
// It retries a change that was not accepted, since a new member accepts changes only
// after a majority of the members has responded to it.
func (h *Host) ControlUntilAccepted(ctx context.Context, args ...string) (string, error) {
	r, err := h.Control(ctx, args...)
	for err == nil && r.Code == exitNotAccepted && sleep(ctx, retryDelay) {
		r, err = h.Control(ctx, args...)
	}
	if err == nil && r.Code != 0 {
		err = eris.Errorf("redwingctl %v exited with %d: %s", args, r.Code, r.Err)
	}
	return r.Out, err
}
