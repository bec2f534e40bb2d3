package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// drainTime is bounds.drain_ms.
	drainTime = 2 * time.Second
	// lingerTime is how long a leaving runner goes on to serve.
	lingerTime = 6 * time.Second
	// restartDelay is the time between the kill of a host and its new start.
	restartDelay = 150 * time.Millisecond
	// removalDelay is the time between the kill and the removal of a runner's entry.
	removalDelay = 20 * time.Millisecond
	// rounds is how often hosts are killed while a runner leaves.
	rounds = 4
	// roundPause is the time between the exit of a runner and the next round.
	roundPause  = 2 * time.Second
	runnerCount = 18
	// workTime is the time that a runner takes for a payment.
	workTime = 60 * time.Millisecond
	// pauseLeast and pauseMean are a client's pauses between two requests.
	pauseLeast, pauseMean = 40 * time.Millisecond, 100 * time.Millisecond
	clientsPerHost        = 8
)

// payments are the clients' requests and their answers.
type payments struct {
	mu       sync.Mutex
	answers  map[string]answer
	statuses map[string]int
}

// sendAll sends payments to a host until stop is closed.
func (p *payments) sendAll(address string, stop <-chan struct{}) {
	c := client{address: address}
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pauseLeast + rand.N(2*(pauseMean-pauseLeast))):
		}
		a := c.send("POST", "/pufi791/2f", "pay", 1500*time.Millisecond)
		note("client at %s: %s sent at %.3f, status %d, body %q, error %v", address, a.attempt, a.sentAt.Sub(started).Seconds(), a.status, a.body, a.err)
		p.mu.Lock()
		p.answers[a.attempt] = a
		p.statuses[fmt.Sprintf("status %d, whole %v", a.status, a.err == nil)]++
		p.mu.Unlock()
	}
}

// removedRunner has runners leave without a report that they drain while one host of each
// zone is killed and started again. It reports whether hosts that nothing has disturbed go
// on to send requests to the runners.
func removedRunner(trouble bool) bool {
	s := newStore()
	zones := []string{"amman-a", "amman-b", "amman-c"}
	const service = "wuno96b"
	putConfig(s, 7, []any{plainRoute("r-28m82th", "/pufi791/", "non_idempotent", service, 1)}, []any{plainService(service)})
	var runners []*runner
	for i := range runnerCount {
		runners = append(runners, openRunner(s, fmt.Sprintf("i-7f3a9%03d", i), service, zones[i%3], "", workTime, time.Duration(i)*beatInterval/runnerCount))
	}
	hosts := startHosts(tempDir, s.open(), openAPI(), "usage_report,autoscale", zones, 2)
	killed, calm := hosts[:len(zones)], hosts[len(zones):]
	stop := make(chan struct{})
	var clients sync.WaitGroup
	p := &payments{answers: map[string]answer{}, statuses: map[string]int{}}
	for i := range clientsPerHost * len(calm) {
		clients.Go(func() { p.sendAll(calm[i%len(calm)].front(), stop) })
	}
	time.Sleep(8 * time.Second)
	leftAt := make([]time.Time, rounds)
	for i := range rounds {
		if trouble {
			for _, h := range killed {
				h.kill()
			}
		}
		time.Sleep(removalDelay)
		runners[i].leave()
		leftAt[i] = time.Now()
		note("the store has accepted the removal of the entry of %s", runners[i].id)
		time.Sleep(restartDelay - removalDelay)
		if trouble {
			for _, h := range killed {
				h.start()
			}
		}
		time.Sleep(time.Until(leftAt[i].Add(lingerTime)))
		runners[i].exit()
		note("runner %s exits", runners[i].id)
		time.Sleep(roundPause)
	}
	close(stop)
	clients.Wait()
	late, lost := 0, 0
	for i := range rounds {
		n, cut := p.lateAt(runners[i], leftAt[i])
		late, lost = late+n, lost+cut
	}
	note("all answers: %v", p.statuses)
	fmt.Printf("%d payments reached runners over %v after the removal of their entries, %d of them were cut when the runner exited; all answers: %v\n", late, drainTime, lost, p.statuses)
	return late > 0
}

// lateAt returns the number of payments that reached a runner later than drainTime after it
// had left, and how many of them were not answered with success.
func (p *payments) lateAt(r *runner, leftAt time.Time) (late, lost int) {
	latest := time.Duration(0)
	for _, run := range r.allRuns() {
		a, known := p.answers[run.attempt]
		after := run.at.Sub(leftAt)
		if !known || after <= drainTime {
			continue
		}
		late++
		latest = max(latest, after)
		if a.status != 200 || a.err != nil {
			lost++
			note("payment %s was cut at %s, the client got status %d, error %v", a.attempt, r.id, a.status, a.err)
		}
	}
	note("%d payments reached %s over %v after the removal of its entry, the last one after %v; %d were cut when it exited", late, r.id, drainTime, latest, lost)
	return late, lost
}
