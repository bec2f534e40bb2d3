package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// simulation runs trackers of many hosts that hear each other's reports late. Requests with
// a guilty part crash each server; sound ones share all other parts with them.
type simulation struct {
	random   *rand.Rand
	trackers []*Tracker
	// delay is the longest time until a report arrives.
	delay  time.Duration
	events []simulated
	now    time.Time
	ended  int

	crashes map[PartID][]time.Time
	// lateSends counts the guilty requests that reached a server later than allowed.
	lateSends    map[PartID]int
	refusedSound int
}

type simulated struct {
	at time.Time
	do func()
}

const (
	step = 50 * time.Millisecond
	// contactTime is the time after the fifth crash from which sends are counted.
	contactTime    = 3 * time.Second
	allowedCrashes = 5
	allowedSends   = 3
)

func (s *simulation) after(d time.Duration, do func()) {
	s.events = append(s.events, simulated{s.now.Add(d), do})
}

func (s *simulation) host() *Tracker { return s.trackers[s.random.IntN(len(s.trackers))] }

// prompt returns a prompt's shared parts: one of all callers, one of the caller, one of
// a document, and the guilty one, if any, at a random place.
func (s *simulation) prompt(guilty PartID) []PartID {
	parts := ids(1, PartID(10+s.random.IntN(5)), PartID(2000+s.random.IntN(40)))
	if guilty == 0 {
		return parts
	}
	place := s.random.IntN(len(parts) + 1)
	return append(append(append([]PartID{}, parts[:place]...), guilty), parts[place:]...)
}

func (s *simulation) sendSound() {
	host, parts := s.host(), s.prompt(0)
	if host.Holding(parts, s.now) != nil {
		s.refusedSound++
		return
	}
	s.after(200*time.Millisecond, func() { host.RecordAnswer(parts, s.now) })
}

func (s *simulation) sendGuilty(guilty PartID) {
	host, parts := s.host(), s.prompt(guilty)
	if host.Holding(parts, s.now) != nil {
		return
	}
	if times := s.crashes[guilty]; len(times) >= allowedCrashes && s.now.Sub(times[allowedCrashes-1]) > contactTime {
		s.lateSends[guilty]++
	}
	s.after(100*time.Millisecond, func() {
		s.ended++
		name := model.BackendID(fmt.Sprint("s", s.ended))
		s.crashes[guilty] = append(s.crashes[guilty], s.now)
		host.RecordCrash(name, parts, s.now, s.now)
		for range 4 {
			s.host().RecordCrash(name, s.prompt(0), s.now, s.now)
		}
	})
}

func (s *simulation) exchange(older bool) {
	for i, from := range s.trackers {
		report := from.Report(older, s.now)
		if len(report) == 0 {
			continue
		}
		sentAt := s.now
		for j, to := range s.trackers {
			if i == j {
				continue
			}
			s.after(time.Duration(s.random.Int64N(int64(s.delay))), func() { to.Merge(aged(report, s.now.Sub(sentAt)), s.now) })
		}
	}
}

// aged adds the time on the way to the ages of a report.
func aged(report []Crash, by time.Duration) []Crash {
	out := make([]Crash, len(report))
	for i, c := range report {
		out[i] = Crash{Server: c.Server, Age: c.Age + by}
		for _, p := range c.Parts {
			p.AnswerAge += by
			out[i].Parts = append(out[i].Parts, p)
		}
	}
	return out
}

func (s *simulation) run(seconds float64, soundPerSecond float64, guilty map[PartID]float64, interval time.Duration) {
	next := s.now
	round := 0
	for end := s.now.Add(time.Duration(seconds * float64(time.Second))); s.now.Before(end); s.now = s.now.Add(step) {
		due := s.events
		s.events = nil
		for _, e := range due {
			if e.at.After(s.now) {
				s.events = append(s.events, e)
				continue
			}
			e.do()
		}
		for n := soundPerSecond * step.Seconds(); n > 0; n-- {
			if s.random.Float64() < n {
				s.sendSound()
			}
		}
		for _, part := range slices.Sorted(maps.Keys(guilty)) {
			if s.random.Float64() < guilty[part]*step.Seconds() {
				s.sendGuilty(part)
			}
		}
		if !s.now.Before(next) {
			s.exchange(round%4 == 0)
			round++
			next = next.Add(interval)
		}
	}
}

func newSimulation(seed uint64, hosts int, delay time.Duration) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(seed, seed)), delay: delay, now: start,
		crashes: map[PartID][]time.Time{}, lateSends: map[PartID]int{},
	}
	for range hosts {
		s.trackers = append(s.trackers, New(DefaultSettings()))
	}
	return s
}

func TestHostsThatHearLateHoldGuiltyPartsAndNoOthers(t *testing.T) {
	for _, c := range []struct {
		hosts           int
		interval, delay time.Duration
		guilty          map[PartID]float64
		seconds         float64
		seeds           uint64
	}{
		{2, 100 * time.Millisecond, 20 * time.Millisecond, map[PartID]float64{107: 2}, 30, 10},
		{9, 100 * time.Millisecond, 100 * time.Millisecond, map[PartID]float64{2107: 2, 2208: 10, 2309: 1}, 20, 6},
		{59, 100 * time.Millisecond, 400 * time.Millisecond, map[PartID]float64{2107: 2, 2208: 8}, 10, 1},
		{340, 400 * time.Millisecond, time.Second, map[PartID]float64{407: 4}, 6, 1},
	} {
		for seed := range c.seeds {
			t.Run(fmt.Sprint(c.hosts, " hosts, seed ", seed), func(t *testing.T) {
				s := newSimulation(seed, c.hosts, c.delay)
				s.run(2, 40, nil, c.interval)
				s.run(c.seconds, 40, c.guilty, c.interval)
				for part := range c.guilty {
					assert.GreaterOrEqual(t, len(s.crashes[part]), 3)
					assert.LessOrEqual(t, s.lateSends[part], allowedSends)
				}
				assert.Zero(t, s.refusedSound)
				t.Logf("crashes %v", s.ended)
			})
		}
	}
}

// All parts of the traffic are new, since all hosts have just started, and half of the
// servers crash at once for another reason, three times.
func TestServersThatCrashAtOnceHoldNoPart(t *testing.T) {
	for seed := range uint64(5) {
		s := newSimulation(seed, 9, 100*time.Millisecond)
		for round := range 3 {
			for i := range 18 {
				for range 6 {
					host := s.host()
					s.after(time.Duration(s.random.IntN(50))*time.Millisecond, func() {
						host.RecordCrash(model.BackendID(fmt.Sprint("s", 100*round+i)), s.prompt(0), s.now, s.now)
					})
				}
			}
			s.run(0.2, 0, nil, 100*time.Millisecond)
			s.run(1.5, 60, nil, 100*time.Millisecond)
		}
		assert.Zero(t, s.refusedSound, seed)
	}
}
