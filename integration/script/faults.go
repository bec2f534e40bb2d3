package script

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/fault"
)

func (s *state) fault(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 2)
	components := s.running(ts, neg).StandIn
	ctx, cancel := commandContext()
	defer cancel()
	if args[0] == "clear" {
		requireArgs(ts, args, 1, 1)
		ts.Check(components.ClearFaults(ctx))
		return
	}
	requireArgs(ts, args, 2, 2)
	switch args[0] {
	case "platform":
		ts.Check(components.SetPlatformFault(ctx, decodeStrict[fault.Injection](ts, args[1])))
	case "engine":
		ts.Check(components.EngineFault(ctx, decodeStrict[standin.EngineFault](ts, args[1])))
	case "service":
		ts.Check(components.ServiceFault(ctx, decodeStrict[standin.ServiceFault](ts, args[1])))
	case "crash":
		ts.Check(components.ApplyAction(ctx, model.BackendID(args[1]), standin.ActionCrash))
	case "hang":
		ts.Check(components.ApplyAction(ctx, model.BackendID(args[1]), standin.ActionHang))
	default:
		ts.Fatalf("unknown fault %q", args[0])
	}
}

// decodeStrict decodes JSON and rejects unknown fields, since a misspelt fault would
// inject no fault and test nothing.
func decodeStrict[T any](ts *testscript.TestScript, text string) T {
	var value T
	d := json.NewDecoder(bytes.NewReader([]byte(text)))
	d.DisallowUnknownFields()
	ts.Check(d.Decode(&value))
	return value
}

func (s *state) reclaim(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	ctx, cancel := commandContext()
	defer cancel()
	ids, err := s.running(ts, neg).StandIn.Reclaim(ctx, model.DataCentreID(args[0]), 0)
	ts.Check(err)
	ts.Logf("reclaimed %v", ids)
	if len(ids) == 0 {
		ts.Fatalf("data centre %s has no preemptible backend servers", args[0])
	}
}

func (s *state) key(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 2, 2)
	d := s.running(ts, neg)
	if args[0] != "grant" && args[0] != "revoke" {
		ts.Fatalf("unknown key command %q", args[0])
	}
	ctx, cancel := commandContext()
	defer cancel()
	ts.Check(d.SetKey(ctx, model.KeyID(args[1]), args[0] == "revoke"))
}

func (s *state) drain(ts *testscript.TestScript, neg bool, args []string) {
	requireArgs(ts, args, 1, 1)
	ctx, cancel := commandContext()
	defer cancel()
	ts.Check(s.running(ts, neg).Drain(ctx, model.BackendID(args[0])))
}

// operate runs a script of the operators' language on a host. With ! the host must
// not accept it.
func (s *state) operate(ts *testscript.TestScript, neg bool, args []string) {
	d := s.running(ts, false)
	within, args := parseWithin(ts, args)
	requireArgs(ts, args, 2, 2)
	h := s.host(ts, false, args[0])
	ctx, cancel := commandContext()
	defer cancel()
	deadline := time.Now().Add(within)
	_, err := d.Operate(ctx, h, args[1])
	for err != nil && time.Now().Before(deadline) {
		time.Sleep(retryInterval)
		_, err = d.Operate(ctx, h, args[1])
	}
	if neg && err == nil {
		ts.Fatalf("host %s accepted the script", h.ID)
	}
	if neg {
		ts.Logf("not accepted: %v", err)
		return
	}
	ts.Check(err)
}

// parseWithin removes the option -within DURATION from the arguments and returns it.
func parseWithin(ts *testscript.TestScript, args []string) (time.Duration, []string) {
	if len(args) < 2 || args[0] != "-within" {
		return 0, args
	}
	d, err := time.ParseDuration(args[1])
	ts.Check(err)
	return d, args[2:]
}
