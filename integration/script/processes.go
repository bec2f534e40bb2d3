package script

import (
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/pkg/model"
)

func (s *state) start(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 10)
	if s.deployment != nil {
		s.startHost(ts, neg, args)
		return
	}
	sizes := parseSizes(ts, args[1:])
	config := harness.Preset(args[0]).Config(outputDir(ts), sizes, s.seed)
	ctx, cancel := commandContext()
	defer cancel()
	d, err := harness.New(ctx, s.binaries, config)
	ts.Check(err)
	s.deployment = d
	ts.Check(d.StartHosts(ctx))
}

func (s *state) startHost(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	h := s.host(ts, neg, args[0])
	ctx, cancel := commandContext()
	defer cancel()
	ts.Check(h.Start())
	ts.Check(h.Ready(ctx))
}

func parseSizes(ts *testscript.TestScript, args []string) harness.Sizes {
	var sizes harness.Sizes
	fields := map[string]*int{
		"hosts": &sizes.Hosts, "ordinary": &sizes.Ordinary, "preemptible": &sizes.Preemptible, "services": &sizes.Services,
	}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		if name == "fencing" {
			sizes.ChecksFencing = value == "true"
			continue
		}
		field, known := fields[name]
		if !known {
			ts.Fatalf("unknown size %q", arg)
		}
		n, err := strconv.Atoi(value)
		ts.Check(err)
		*field = n
	}
	return sizes
}

func (s *state) host(ts *testscript.TestScript, neg bool, id string) *harness.Host {
	h, err := s.running(ts, neg).Host(model.HostID(id))
	ts.Check(err)
	return h
}

func (s *state) stop(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	h := s.host(ts, neg, args[0])
	ctx, cancel := commandContext()
	defer cancel()
	ts.Check(h.Stop())
	ts.Check(h.Wait(ctx))
}

func (s *state) kill(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	h := s.host(ts, neg, args[0])
	ctx, cancel := commandContext()
	defer cancel()
	ts.Check(h.Kill())
	ts.Check(h.Wait(ctx))
}

func (s *state) freeze(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	ts.Check(s.host(ts, neg, args[0]).Freeze())
}

func (s *state) resume(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	ts.Check(s.host(ts, neg, args[0]).Resume())
}

func (s *state) cut(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, 4)
	h := s.host(ts, neg, args[0])
	direction, mode := harness.Both, harness.Silent
	for _, arg := range args[2:] {
		switch arg {
		case string(harness.Both), string(harness.In), string(harness.Out):
			direction = harness.Direction(arg)
		case string(harness.Silent), string(harness.Reset):
			mode = harness.FailureMode(arg)
		default:
			ts.Fatalf("unknown direction or failure mode %q", arg)
		}
	}
	for _, link := range parseLinks(ts, args[1]) {
		h.Cut(link, direction, mode)
	}
}

func parseLinks(ts *testscript.TestScript, name string) []harness.Link {
	if name == "all" {
		return harness.Links
	}
	for _, link := range harness.Links {
		if string(link) == name {
			return []harness.Link{link}
		}
	}
	ts.Fatalf("unknown link %q", name)
	return nil
}

func (s *state) heal(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	s.host(ts, neg, args[0]).Heal()
}

func (s *state) sleep(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	s.running(ts, neg)
	d, err := time.ParseDuration(args[0])
	ts.Check(err)
	time.Sleep(d)
}

// maxShownViolations is the number of violations that a failed check prints at most.
const maxShownViolations = 20

func (s *state) check(ts *testscript.TestScript, neg bool, args []string) {
	d := s.running(ts, neg)
	ctx, cancel := commandContext()
	defer cancel()
	r, err := d.Recording(ctx)
	ts.Check(err)
	var promises []check.Promise
	for _, arg := range args {
		promises = append(promises, check.Promise(arg))
	}
	found := check.All(r, promises...)
	for _, v := range found[:min(len(found), maxShownViolations)] {
		ts.Logf("%s", v.Error())
	}
	ts.Logf("checked %d events and %d calls: %d violations", len(r.Events), len(r.Calls), len(found))
	if len(found) > 0 {
		ts.Fatalf("%d violations", len(found))
	}
}
