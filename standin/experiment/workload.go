package experiment

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// Arrival is one request of a trace.
type Arrival struct {
	At           time.Duration
	Organisation model.OrganisationID
	Class        string
	// Prompt and Output are numbers of tokens.
	Prompt int
	Output int
	// Prefix holds the hashes of the prompt's full blocks.
	Prefix []uint64
	// Resumable requests may run on preemptible servers.
	Resumable bool
}

// class is a kind of request.
type class struct {
	name string
	// documents is the number of documents per organisation that prompts share
	// as their prefix; 0 means none.
	documents int
	// A document has minBlocks to maxBlocks blocks.
	minBlocks, maxBlocks int
	// prompt, in tokens beside the document, and output, in tokens, are medians
	// of log-normal distributions with the given spread.
	prompt, output float64
	spread         float64
	maxOutput      int
	// resumable is the share of resumable requests.
	resumable float64
}

// Classes of requests: dossier, circular and appeal share prefixes; fresh has
// long prompts that share none.
var (
	dossier  = class{"dossier", 60, 2, 5, 500, 90, 0.5, 400, 0.95}
	circular = class{"circular", 12, 2, 4, 700, 60, 0.5, 300, 0.95}
	appeal   = class{"appeal", 100, 3, 6, 400, 200, 0.5, 600, 0.95}
	chat     = class{"chat", 0, 0, 0, 500, 140, 0.7, 500, 0.9}
	fresh    = class{"fresh", 0, 0, 0, 6500, 90, 0.25, 300, 0.95}
	draft    = class{"draft", 0, 0, 0, 700, 320, 0.4, 700, 0.9}
)

// phase is a period with one mix of classes.
type phase struct {
	until time.Duration
	mix   []float64
	// level multiplies the arrival rate.
	level float64
}

// source generates arrivals of a scenario, deterministic by seed.
type source struct {
	deployment *Deployment
	scenario   *Scenario
	random     *rand.Rand
	phases     []phase
}

func newSource(d *Deployment, s *Scenario, seed uint64) *source {
	src := &source{deployment: d, scenario: s, random: rand.New(rand.NewPCG(seed, 1))}
	src.phases = src.drawPhases()
	return src
}

// drawPhases draws the mix of classes and the level of each phase.
func (s *source) drawPhases() []phase {
	var phases []phase
	at := time.Duration(0)
	for at < s.scenario.Length {
		span := s.scenario.MinPhase + time.Duration(s.random.Float64()*float64(s.scenario.MaxPhase-s.scenario.MinPhase))
		at += span
		mix := make([]float64, len(s.deployment.classes))
		mixes := s.deployment.mixes
		if s.scenario.Cold {
			mixes = s.deployment.coldMixes
		}
		base := mixes[s.random.IntN(len(mixes))]
		for i := range mix {
			mix[i] = base[i] * (0.8 + 0.4*s.random.Float64())
		}
		level := 1 + s.scenario.LevelSwing*(2*s.random.Float64()-1)
		phases = append(phases, phase{at, mix, level})
	}
	return phases
}

func (s *source) phaseAt(at time.Duration) *phase {
	for i := range s.phases {
		if at < s.phases[i].until {
			return &s.phases[i]
		}
	}
	return &s.phases[len(s.phases)-1]
}

// arrivals draws the arrivals of all organisations, in order of time.
func (s *source) arrivals() []Arrival {
	var all []Arrival
	for i := range s.deployment.Organisations {
		all = append(all, s.organisationArrivals(&s.deployment.Organisations[i])...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })
	return all
}

// organisationArrivals draws one organisation's arrivals by thinning a Poisson process.
func (s *source) organisationArrivals(o *Customer) []Arrival {
	random := rand.New(rand.NewPCG(s.random.Uint64(), 2))
	bursts := s.bursts(o, random)
	highest := s.scenario.Rate * o.share * (1 + s.scenario.LevelSwing) * max(1, s.scenario.Burst)
	var all []Arrival
	for at := time.Duration(0); ; {
		at += time.Duration(random.ExpFloat64() / highest * float64(time.Second))
		if at >= s.scenario.Length {
			return all
		}
		p := s.phaseAt(at)
		rate := s.scenario.Rate * o.share * p.level * s.openShare(o, at)
		if inAnySpan(bursts, at) {
			rate *= s.scenario.Burst
		}
		if random.Float64()*highest < rate {
			all = append(all, s.drawArrival(o, p, at, random))
		}
	}
}

// bursts draws the intervals during which an organisation's rate is multiplied
// by the scenario's Burst.
func (s *source) bursts(o *Customer, random *rand.Rand) [][2]time.Duration {
	if s.scenario.Burst <= 1 || !slices.Contains(s.scenario.BurstOrganisations, o.ID) {
		return nil
	}
	var bursts [][2]time.Duration
	for at := time.Duration(0); at < s.scenario.Length; {
		at += time.Minute + time.Duration(random.Float64()*float64(4*time.Minute))
		end := at + time.Minute + time.Duration(random.Float64()*float64(3*time.Minute))
		bursts = append(bursts, [2]time.Duration{at, end})
		at = end
	}
	return bursts
}

func inAnySpan(spans [][2]time.Duration, at time.Duration) bool {
	for _, s := range spans {
		if at >= s[0] && at < s[1] {
			return true
		}
	}
	return false
}

// openShare returns the share of an organisation's shops that are open.
func (s *source) openShare(o *Customer, at time.Duration) float64 {
	if !s.scenario.OpeningHours {
		return 1
	}
	open := 0
	for i := range o.Shops {
		if ok, _, err := o.Shops[i].IsOpen(wallTime(at)); ok && err == nil {
			open++
		}
	}
	return float64(open) / float64(len(o.Shops))
}

func (s *source) drawArrival(o *Customer, p *phase, at time.Duration, random *rand.Rand) Arrival {
	c := &s.deployment.classes[pickWeighted(p.mix, random)]
	a := Arrival{
		At:           at,
		Organisation: o.ID,
		Class:        c.name,
		Prompt:       int(math.Max(20, math.Min(4*c.prompt, logNormal(c.prompt, c.spread, random)))),
		Output:       int(math.Max(4, math.Min(float64(c.maxOutput), logNormal(c.output, c.spread, random)))),
		Resumable:    random.Float64() < c.resumable,
	}
	if c.documents > 0 {
		a.Prefix = drawDocument(o, c, at, random)
		a.Prompt += len(a.Prefix) * engine.BlockTokens
	}
	return a
}

// documentLifetime is how long a document is in use before a new one
// replaces it.
const documentLifetime = 20 * time.Minute

// drawDocument picks a document by a skewed distribution and returns the hashes of
// its blocks. New documents replace old ones at staggered times.
func drawDocument(o *Customer, c *class, at time.Duration, random *rand.Rand) []uint64 {
	rank := int(float64(c.documents) * math.Pow(random.Float64(), 2))
	offset := time.Duration(float64(documentLifetime) * float64(rank) / float64(c.documents))
	version := uint64((at + offset) / documentLifetime)
	fixed := rand.New(rand.NewPCG(uint64(rank)<<8|uint64(len(o.ID)), version^hashOf(string(o.ID)+c.name)))
	blocks := c.minBlocks + fixed.IntN(c.maxBlocks-c.minBlocks+1)
	prefix := make([]uint64, blocks)
	for i := range prefix {
		prefix[i] = fixed.Uint64()
	}
	return prefix
}

func logNormal(median, spread float64, random *rand.Rand) float64 {
	return median * math.Exp(spread*random.NormFloat64())
}

func pickWeighted(weights []float64, random *rand.Rand) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	x := random.Float64() * total
	for i, w := range weights {
		x -= w
		if x < 0 {
			return i
		}
	}
	return len(weights) - 1
}
