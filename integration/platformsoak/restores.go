package platformsoak

import (
	"bufio"
	"context"
	"encoding/json"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/redwingpath/redwingpath/integration/platformsoak/judge"
	"github.com/redwingpath/redwingpath/platform/platformtest"
)

const (
	// maxLoss is the age up to which the copies are that the store returns to.
	maxLoss = 4 * time.Second
	// maxRewriteDelay is the time after which the operator and the servers have written again
	// what the store has lost.
	maxRewriteDelay = time.Second
)

// restoreStore returns the store to older copies, at once or after an outage, and at times
// twice in a row, until ctx is done.
func (r *run) restoreStore(ctx context.Context) {
	random := rand.New(rand.NewPCG(r.config.Seed, 81))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(random.Int64N(int64(most-least)))
	}
	for sleep(ctx, between(time.Second, 3*time.Second)) {
		endDisturbance := r.disturb(judge.StoreDown, "store")
		outage := time.Duration(0)
		if random.IntN(2) == 0 {
			outage = between(0, 3*time.Second)
			r.setStoreFault(platformtest.FaultBusy)
			time.Sleep(outage)
		}
		for range 1 + random.IntN(2) {
			r.unsettle()
			lost := r.store.Restore(outage + between(200*time.Millisecond, maxLoss))
			r.setStoreFault(platformtest.FaultNone)
			time.Sleep(between(0, maxRewriteDelay))
			r.rewrite(lost)
		}
		endDisturbance()
		r.mu.Lock()
		r.result.Restores++
		r.mu.Unlock()
	}
}

func (r *run) setStoreFault(f platformtest.Fault) {
	for _, p := range r.hosts {
		p.endpoint.SetFault(f)
	}
}

// unsettle excuses all hosts for a while: servers whose entries are lost stay in use.
func (r *run) unsettle() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.hosts {
		p.settledAt = time.Now().Add(settleTime)
	}
}

// rewrite has the operator and the servers write again what the store has lost.
func (r *run) rewrite(lost platformtest.Lost) {
	r.store.Rewrite("keyed.servers", lost)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.store.Put("keyed.op", "config", r.configuration.latest)
}

// checkClaims checks that no fencing token was claimed by two processes, by what hosts logged.
func (r *run) checkClaims() {
	claimedBy := map[uint64]string{}
	claims := 0
	for _, p := range r.hosts {
		file, err := os.Open(filepath.Join(r.config.Dir, p.name+".log"))
		if err != nil {
			r.addViolation("the log of %s cannot be read: %v", p.name, err)
			continue
		}
		incarnation := ""
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var line struct {
				Message     string `json:"msg"`
				Incarnation string `json:"incarnation"`
				Fence       uint64 `json:"fence"`
				Mine        bool   `json:"mine"`
			}
			if json.Unmarshal(lines.Bytes(), &line) != nil {
				// A killed host may leave a part of a line.
				continue
			}
			switch {
			case line.Message == "host starts":
				incarnation = line.Incarnation
			case line.Message == "duties claimed" && line.Mine:
				claims++
				if other, ok := claimedBy[line.Fence]; ok && other != incarnation {
					r.addViolation("ONE: fencing token %d was claimed by the processes %s and %s of %s", line.Fence, other, incarnation, p.name)
				}
				claimedBy[line.Fence] = incarnation
			}
		}
		_ = file.Close()
	}
	if claims == 0 {
		r.addViolation("Duty: no claim was logged")
	}
}
