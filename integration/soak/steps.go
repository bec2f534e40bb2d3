package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/redwingpath/redwingpath/integration/harness"
	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
	"github.com/redwingpath/redwingpath/pkg/platform"
	"github.com/redwingpath/redwingpath/standin"
	"github.com/redwingpath/redwingpath/standin/enginesim"
	"github.com/redwingpath/redwingpath/standin/fault"
	"github.com/redwingpath/redwingpath/standin/servicesim"
)

// injector injects random faults and operators' changes into a deployment. Several
// faults may be active at a time.
type injector struct {
	deployment *harness.Deployment
	config     *Config
	started    time.Time
	// down, frozen and cut are the hosts that undoAll starts, resumes or reconnects.
	down   map[*harness.Host]bool
	frozen map[*harness.Host]bool
	cut    map[*harness.Host]bool
}

func newInjector(d *harness.Deployment, c *Config) *injector {
	return &injector{
		deployment: d, config: c, started: time.Now(),
		down: map[*harness.Host]bool{}, frozen: map[*harness.Host]bool{}, cut: map[*harness.Host]bool{},
	}
}

// step is one kind of fault or change.
type step struct {
	name string
	run  func(*injector, context.Context, *rand.Rand) error
}

// stepsPerUndo is the mean number of steps until all faults are undone: high enough
// that faults overlap, low enough that the deployment keeps serving requests.
const stepsPerUndo = 4

// allSteps lists the steps that next chooses from.
var allSteps = []step{
	{"kill", (*injector).kill},
	{"stop", (*injector).stop},
	{"freeze", (*injector).freeze},
	{"cut", (*injector).cutConnections},
	{"platform fault", (*injector).platformFault},
	{"engine fault", (*injector).engineFault},
	{"service fault", (*injector).serviceFault},
	{"break backend server", (*injector).breakBackend},
	{"reclaim", (*injector).reclaim},
	{"key", (*injector).changeKey},
	{"resize", (*injector).resizePool},
	{"role", (*injector).changeRole},
}

// next carries out a random step or undoes all faults.
func (s *injector) next(ctx context.Context, random *rand.Rand) error {
	if random.IntN(stepsPerUndo) == 0 {
		s.log("undo")
		return s.undoAll(ctx)
	}
	chosen := allSteps[random.IntN(len(allSteps))]
	s.log("%s", chosen.name)
	return chosen.run(s, ctx, random)
}

func (s *injector) log(format string, args ...any) {
	elapsed := time.Since(s.started).Round(time.Millisecond)
	_, _ = fmt.Fprintf(s.config.Log, "%8s %s\n", elapsed, fmt.Sprintf(format, args...))
}

// pickHost returns a random host, or nil if that host is down or frozen.
func (s *injector) pickHost(random *rand.Rand) *harness.Host {
	h := s.deployment.Hosts[random.IntN(len(s.deployment.Hosts))]
	if s.down[h] || s.frozen[h] {
		return nil
	}
	s.log("  host %s", h.ID)
	return h
}

func (s *injector) kill(ctx context.Context, random *rand.Rand) error {
	h := s.pickHost(random)
	if h == nil {
		return nil
	}
	s.down[h] = true
	if err := h.Kill(); err != nil {
		return err
	}
	return h.Wait(ctx)
}

func (s *injector) stop(_ context.Context, random *rand.Rand) error {
	h := s.pickHost(random)
	if h == nil {
		return nil
	}
	s.down[h] = true
	return h.Stop()
}

func (s *injector) freeze(_ context.Context, random *rand.Rand) error {
	h := s.pickHost(random)
	if h == nil {
		return nil
	}
	s.frozen[h] = true
	return h.Freeze()
}

func (s *injector) cutConnections(_ context.Context, random *rand.Rand) error {
	h := s.pickHost(random)
	if h == nil {
		return nil
	}
	directions := []harness.Direction{harness.Both, harness.In, harness.Out}
	modes := []harness.FailureMode{harness.Silent, harness.Reset}
	link := harness.Links[random.IntN(len(harness.Links))]
	direction, mode := directions[random.IntN(len(directions))], modes[random.IntN(len(modes))]
	s.log("  %s %s %s", link, direction, mode)
	s.cut[h] = true
	h.Cut(link, direction, mode)
	return nil
}

func (s *injector) platformFault(ctx context.Context, random *rand.Rand) error {
	interfaces := []fault.Interface{"log", "fleet", "usage", fault.LogAppend, fault.LogRead}
	injection := fault.Injection{Interface: interfaces[random.IntN(len(interfaces))]}
	switch random.IntN(4) {
	case 0:
		injection.Outage = true
	case 1:
		injection.Silent = true
	case 2:
		injection.DelayMS = 1000 + random.IntN(3000)
	default:
		injection.LoseProbability = 0.3
	}
	s.log("  %+v", injection)
	return s.deployment.StandIn.SetPlatformFault(ctx, injection)
}

func (s *injector) engineFault(ctx context.Context, random *rand.Rand) error {
	f := enginesim.Faults{
		MismatchProbability: random.Float64() * 0.3, LateMS: random.Int64N(100),
		DropReports: random.IntN(2) == 0, OrderDelayMS: random.Int64N(4000),
	}
	return s.deployment.StandIn.EngineFault(ctx, standin.EngineFault{Faults: f})
}

func (s *injector) serviceFault(ctx context.Context, random *rand.Rand) error {
	f := servicesim.Faults{LoseAnswers: random.IntN(3), AnswerDelayMS: random.Int64N(500)}
	switch random.IntN(3) {
	case 0:
		f.CrashAfterExecution = 1
	case 1:
		f.CrashBeforeExecution = 1
	}
	return s.deployment.StandIn.ServiceFault(ctx, standin.ServiceFault{Faults: f})
}

func (s *injector) breakBackend(ctx context.Context, random *rand.Rand) error {
	backends, err := s.deployment.StandIn.Backends(ctx)
	if err != nil {
		return err
	}
	b := backends[random.IntN(len(backends))]
	if b.State != platform.BackendLive {
		return nil
	}
	action := standin.ActionCrash
	if random.IntN(2) == 0 {
		action = standin.ActionHang
	}
	s.log("  %s %s", action, b.ID)
	return s.deployment.StandIn.ApplyAction(ctx, b.ID, action)
}

func (s *injector) reclaim(ctx context.Context, random *rand.Rand) error {
	backends, err := s.deployment.StandIn.Backends(ctx)
	if err != nil {
		return err
	}
	dc := backends[random.IntN(len(backends))].DataCentre
	ids, err := s.deployment.StandIn.Reclaim(ctx, dc, 0)
	s.log("  %s: %v", dc, ids)
	return err
}

// changeKey revokes the key that is reserved for this step, or grants it again. The
// change goes through the log, so it fails during a fault of the log, which is not an
// error of the run.
func (s *injector) changeKey(ctx context.Context, random *rand.Rand) error {
	revoked := random.IntN(2) == 0
	if err := s.deployment.SetKey(ctx, harness.RevocableKey, revoked); err != nil {
		s.log("  not changed: %v", err)
		return nil
	}
	s.log("  revoked=%t", revoked)
	return nil
}

// resizePool makes the planner order or release engines by changing the bounds of
// the pool.
func (s *injector) resizePool(ctx context.Context, random *rand.Rand) error {
	size := minEngines + random.IntN(6)
	s.runScript(ctx, random, fmt.Sprintf("change pool %s min %d max %d", s.deployment.ModelPool(), size, size))
	return nil
}

// minEngines is the smallest pool size that resizePool sets. It is above 1 because
// other steps break engines.
const minEngines = 3

// changeRole makes the planner change the role of a random engine.
func (s *injector) changeRole(ctx context.Context, random *rand.Rand) error {
	backends, err := s.deployment.StandIn.Backends(ctx)
	if err != nil {
		return err
	}
	roles := []engine.Role{engine.RoleMixed, engine.RolePrefill, engine.RoleDecode}
	b := backends[random.IntN(len(backends))]
	if b.PoolKind != model.PoolEngine || b.State != platform.BackendLive {
		return nil
	}
	s.runScript(ctx, random, fmt.Sprintf("drain backend %s reason soak role %s", b.ID, roles[random.IntN(len(roles))]))
	return nil
}

// runScript runs an operators' script on a random host. A rejected script is only
// logged, since faults may cause it.
func (s *injector) runScript(ctx context.Context, random *rand.Rand, script string) {
	h := s.deployment.Hosts[random.IntN(len(s.deployment.Hosts))]
	s.log("  %s on %s", script, h.ID)
	ctx, cancel := context.WithTimeout(ctx, scriptTimeout)
	defer cancel()
	if _, err := s.deployment.Operate(ctx, h, script); err != nil {
		s.log("  not accepted: %v", err)
	}
}

// scriptTimeout limits the time for a script, since the host may be frozen.
const scriptTimeout = 3 * time.Second

// undoAll undoes all faults. It waits until restarted hosts are ready, so that they
// can serve the load.
func (s *injector) undoAll(ctx context.Context) error {
	if err := s.deployment.StandIn.ClearFaults(ctx); err != nil {
		return err
	}
	for h := range s.cut {
		h.Heal()
	}
	clear(s.cut)
	for h := range s.frozen {
		if err := h.Resume(); err != nil {
			return err
		}
	}
	clear(s.frozen)
	for h := range s.down {
		if err := s.restart(ctx, h); err != nil {
			return err
		}
	}
	clear(s.down)
	return nil
}

// restart starts a host after its previous process has exited, and waits until it
// is ready.
func (s *injector) restart(ctx context.Context, h *harness.Host) error {
	bounded, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := h.Wait(bounded); err != nil {
		return err
	}
	if err := h.Start(); err != nil {
		return err
	}
	return h.Ready(bounded)
}
