package script

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/redwingpath/redwingpath/integration/check"
	"github.com/redwingpath/redwingpath/integration/load"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// minCompleteCalls is the minimum number of complete calls of a load. A scenario in
// which every call is rejected would violate no promise and test nothing.
const minCompleteCalls = 1

func (s *state) load(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 7)
	d := s.running(ts, neg)
	if args[0] == "stop" {
		s.endLoad(ts)
		return
	}
	if s.stopLoad != nil {
		ts.Fatalf("a load is already running")
	}
	share, err := strconv.ParseFloat(args[0], 64)
	ts.Check(err)
	mix := load.DefaultMix()
	if len(args) > 1 {
		mix = parseMix(ts, args[1:])
	}
	generator := load.NewGenerator(d.LoadConfig(s.seed, share, mix), d.Client)
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { generator.Run(ctx) })
	s.stopLoad = func() { cancel(); running.Wait() }
}

func (s *state) endLoad(ts *testscript.TestScript) {
	if s.stopLoad == nil {
		ts.Fatalf("no load is running")
	}
	s.stopLoad()
	s.stopLoad = nil
	outcomes := map[check.Outcome]int{}
	rejections := map[model.ErrorCode]int{}
	for _, c := range s.deployment.Client.Calls() {
		outcomes[c.Outcome]++
		if c.Outcome == check.Rejected {
			rejections[c.Code]++
		}
	}
	ts.Logf("outcomes: %v, rejections: %v", outcomes, rejections)
	if outcomes[check.Complete] < minCompleteCalls {
		ts.Fatalf("no call was completed")
	}
}

func parseMix(ts *testscript.TestScript, args []string) load.Mix {
	mix := load.Mix{}
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		weight, err := strconv.ParseFloat(value, 64)
		ts.Check(err)
		mix[load.Operation(name)] = weight
	}
	return mix
}

const defaultAskTokens = 8

func (s *state) ask(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 3, 7)
	h := s.host(ts, neg, args[0])
	r := load.Request{Operation: load.Operation(args[1]), MaxTokens: defaultAskTokens}
	if args[2] != "-" {
		key, err := s.deployment.Key(model.KeyID(args[2]))
		ts.Check(err)
		r.Key = key
	}
	for _, arg := range args[3:] {
		s.askOption(ts, &r, arg)
	}
	s.lastRequest, s.lastTarget = &r, load.Target{ID: h.ID, URL: h.Callers}
	s.repeat()
}

func (s *state) askOption(ts *testscript.TestScript, r *load.Request, arg string) {
	name, value, _ := strings.Cut(arg, "=")
	switch name {
	case "tokens":
		n, err := strconv.Atoi(value)
		ts.Check(err)
		r.MaxTokens = n
	case "idem":
		r.IdempotencyKey = value
	case "text":
		r.Text = value
	case "whole":
		r.Whole = true
	default:
		ts.Fatalf("unknown option %q", arg)
	}
}

// repeat sends the last asked call again. A call with an idempotency key keeps its
// tag, since a repeat must have the same body.
func (s *state) repeat() {
	r := *s.lastRequest
	s.askCount++
	r.Tag = fmt.Sprintf("ask-%d", s.askCount)
	if r.IdempotencyKey != "" {
		r.Tag = "ask-" + r.IdempotencyKey
	}
	r.Text = strings.TrimSpace(r.Text + " call=" + r.Tag)
	s.lastCall = s.deployment.Client.Do(context.Background(), s.lastTarget, &r)
}

// retryInterval is the time between the attempts of commands with -within.
const retryInterval = 100 * time.Millisecond

func (s *state) expect(ts *testscript.TestScript, neg bool, args []string) {
	s.running(ts, neg)
	if s.lastRequest == nil {
		ts.Fatalf("expect needs a preceding ask")
	}
	within, args := parseWithin(ts, args)
	requireArgs(ts, args, 1, 6)
	deadline := time.Now().Add(within)
	for {
		mismatch := s.mismatch(ts, args)
		if mismatch == "" {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s; last call: %+v", mismatch, s.lastCall)
		}
		time.Sleep(retryInterval)
		s.repeat()
	}
}

// mismatch describes the first field that does not have the wanted value, or returns
// "". A wanted value may list alternatives, as in code=revoked_key|invalid_key.
func (s *state) mismatch(ts *testscript.TestScript, args []string) string {
	c := &s.lastCall
	fields := map[string]string{
		"outcome": string(c.Outcome), "status": strconv.Itoa(c.Status), "code": string(c.Code), "ran": string(c.Ran),
		"retry_after": strconv.FormatBool(c.RetryAfter), "correct": strconv.FormatBool(c.Expected == c.Received),
	}
	for _, arg := range args {
		name, wanted, _ := strings.Cut(arg, "=")
		got, known := fields[name]
		if !known {
			ts.Fatalf("unknown field %q", name)
		}
		if !slices.Contains(strings.Split(wanted, "|"), got) {
			return fmt.Sprintf("%s is %q, wanted %q", name, got, wanted)
		}
	}
	return ""
}
