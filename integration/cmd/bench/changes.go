package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/integration/example"
	"github.com/redwingpath/redwingpath/pkg/operator"
	"github.com/redwingpath/redwingpath/standin/enginesim"
)

const (
	changesPerDeployment = 15
	revokeDelay          = 300 * time.Millisecond
	pollInterval         = time.Millisecond
	restarts             = 3
)

// measureChanges measures how fast configuration changes take effect on all hosts, and
// how fast a host starts.
func measureChanges(ctx context.Context, env *environment) error {
	for _, hosts := range []int{3, 8} {
		if err := env.measureChangesOn(ctx, hosts); err != nil {
			return err
		}
	}
	return nil
}

func (env *environment) measureChangesOn(ctx context.Context, hosts int) error {
	f, err := env.deploy(ctx, hosts, enginesim.Config{})
	if err != nil {
		return err
	}
	defer f.Close()
	var granted, revoked changeTimes
	for i := range changesPerDeployment {
		if err := f.grantAndRevoke(ctx, i, &granted, &revoked); err != nil {
			return err
		}
	}
	granted.print(fmt.Sprintf("configuration_%d_hosts", hosts))
	revoked.print(fmt.Sprintf("revoked_key_%d_hosts", hosts))
	if hosts > restarts {
		return nil
	}
	return f.measureRestarts(ctx)
}

// changeTimes holds the times that changes took.
type changeTimes struct {
	// accepted holds the times from the sending of a change until its response arrives.
	accepted []time.Duration
	// perHost holds, for each host and change, the time from acceptance until the
	// change is in force there; 0 if it was in force before.
	perHost []time.Duration
	// allHosts holds the times from the sending of a change until it is in force on
	// every host.
	allHosts []time.Duration
}

func (t *changeTimes) print(name string) {
	printMetric(name+"_accepted_p50", milliseconds(quantile(t.accepted, 0.5)), "ms")
	printMetric(name+"_in_force_after_acceptance_p50", milliseconds(quantile(t.perHost, 0.5)), "ms")
	printMetric(name+"_in_force_after_acceptance_max", milliseconds(quantile(t.perHost, 1)), "ms")
	printMetric(name+"_in_force_everywhere_after_sending_p50", milliseconds(quantile(t.allHosts, 0.5)), "ms")
	printMetric(name+"_in_force_everywhere_after_sending_max", milliseconds(quantile(t.allHosts, 1)), "ms")
}

// grantAndRevoke grants and revokes a key through one host and polls all hosts with
// it: the response is 401 while the key is not in force, and 400 otherwise, since the
// body is an empty JSON object.
func (f *fixture) grantAndRevoke(ctx context.Context, i int, granted, revoked *changeTimes) error {
	secret, digest, err := operator.NewKey()
	if err != nil {
		return err
	}
	via := f.Hosts[i%len(f.Hosts)]
	grant := fmt.Sprintf("grant key probe-%d org bench digest %s", i, digest)
	if err := f.change(ctx, via, grant, secret, http.StatusBadRequest, granted); err != nil {
		return err
	}
	time.Sleep(revokeDelay)
	revoke := fmt.Sprintf("revoke key probe-%d", i)
	return f.change(ctx, via, revoke, secret, http.StatusUnauthorized, revoked)
}

// change runs a script through one host and records when it is accepted and when each
// host first responds with status to a call with the key.
func (f *fixture) change(ctx context.Context, via *example.Host, script, secret string, status int, times *changeTimes) error {
	client, err := via.Client()
	if err != nil {
		return err
	}
	inForce := make([]time.Time, len(f.Hosts))
	failures := make([]error, len(f.Hosts))
	sent := time.Now()
	var group sync.WaitGroup
	for i, h := range f.Hosts {
		group.Go(func() { inForce[i], failures[i] = f.awaitStatus(ctx, h, secret, status) })
	}
	_, err = client.Run(ctx, script)
	accepted := time.Now()
	if err != nil {
		return err
	}
	group.Wait()
	var last time.Time
	for i := range inForce {
		if failures[i] != nil {
			return failures[i]
		}
		times.perHost = append(times.perHost, max(inForce[i].Sub(accepted), 0))
		if inForce[i].After(last) {
			last = inForce[i]
		}
	}
	times.accepted = append(times.accepted, accepted.Sub(sent))
	times.allHosts = append(times.allHosts, last.Sub(sent))
	return nil
}

// changeTimeout is the time within which, by design, every change is in force.
const changeTimeout = 5 * time.Second

// awaitStatus polls a host until it responds with status to a call with the key, and
// returns the time of that response.
func (f *fixture) awaitStatus(ctx context.Context, h *example.Host, secret string, status int) (time.Time, error) {
	deadline := time.Now().Add(changeTimeout)
	for time.Now().Before(deadline) {
		response, err := f.Call(ctx, h.Callers+"/v1/chat/completions", "{}", example.Header(secret))
		if err != nil {
			return time.Time{}, err
		}
		if response.Status == status {
			return time.Now(), nil
		}
		time.Sleep(pollInterval)
	}
	return time.Time{}, eris.Errorf("the change is not in force on host %s after %s", h.ID, changeTimeout)
}

// measureRestarts measures the time from the start of a host's process until it is ready.
func (f *fixture) measureRestarts(ctx context.Context) error {
	var times []time.Duration
	for _, h := range f.Hosts[:restarts] {
		if err := h.Process.Terminate(); err != nil {
			return err
		}
		if err := h.Process.Wait(stopTimeout); err != nil {
			return err
		}
		start := time.Now()
		if err := h.Start(); err != nil {
			return err
		}
		if err := h.Ready(ctx); err != nil {
			return err
		}
		times = append(times, time.Since(start))
	}
	printMetric("start_to_ready_p50", milliseconds(quantile(times, 0.5)), "ms")
	printMetric("start_to_ready_max", milliseconds(quantile(times, 1)), "ms")
	return nil
}
