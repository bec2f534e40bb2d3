package mesh

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Relayed is what a relay passes on of a message.
type Relayed struct {
	// From is the sender. All but the name is left out of most messages.
	From Member
	// Life tells incarnations of the sender apart.
	Life uint32
	// Number is the number of the sender's message.
	Number uint64
	// Age is the time from the message to the bundle.
	Age time.Duration
	// ReadAge is the time since the sender has read the store, 0 if it never has.
	ReadAge time.Duration
	News    News
}

// Bundle is what a relay has heard between two of its rounds, encoded once for all
// hosts.
type Bundle struct {
	// Age is the time since the bundle was made.
	Age  time.Duration
	Data []byte
}

func lifeOf(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

const (
	// bundlesKept is the number of bundles that a host which missed some still
	// gets: later messages replace all but the sends of earlier ones.
	bundlesKept = 4
	// introducedBy is the number of first messages that carry the whole sender.
	introducedBy = 3
)

// board collects what a relay hears. It is safe for concurrent use.
type board struct {
	mu      sync.Mutex
	open    []posting
	kept    []*sealed
	number  uint64
	deflate *flate.Writer
}

type posting struct {
	relayed Relayed
	at      time.Time
	// direct is set for what the sender told this relay itself.
	direct bool
}

// sealed is a bundle, encoded when it is first asked for.
type sealed struct {
	number   uint64
	at       time.Time
	postings []posting
	data     map[Scope][]byte
}

// post adds what a relay has heard at a time.
func (b *board) post(r Relayed, at time.Time, direct bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open = append(b.open, posting{r, at, direct})
}

// seal ends the current bundle.
func (b *board) seal(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.number++
	b.kept = append(b.kept, &sealed{number: b.number, at: now, postings: b.open, data: map[Scope][]byte{}})
	b.open = nil
	if len(b.kept) > bundlesKept {
		b.kept = append(b.kept[:0], b.kept[1:]...)
	}
}

// clear forgets all, but not the number of the last bundle.
func (b *board) clear() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.open, b.kept = nil, nil
}

// since returns the bundles that a host wants.
func (b *board) since(w Want, now time.Time) (bundles []Bundle, newest uint64, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.kept {
		if s.number <= w.After {
			continue
		}
		data, known := s.data[w.Scope]
		if !known {
			if data, err = b.encode(s, w.Scope); err != nil {
				return nil, 0, err
			}
			s.data[w.Scope] = data
		}
		if len(data) > 0 {
			bundles = append(bundles, Bundle{Age: now.Sub(s.at), Data: data})
		}
	}
	return bundles, b.number, nil
}

// encode returns no data for a bundle with nothing in the scope.
func (b *board) encode(s *sealed, scope Scope) ([]byte, error) {
	var list []Relayed
	for _, p := range s.postings {
		if scope == ScopeOwn && !p.direct {
			continue
		}
		r := p.relayed
		r.Age += s.at.Sub(p.at)
		list = append(list, r)
	}
	if len(list) == 0 {
		return nil, nil
	}
	var out bytes.Buffer
	if b.deflate == nil {
		var err error
		if b.deflate, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
			return nil, eris.Wrap(err, "open a bundle")
		}
	}
	b.deflate.Reset(&out)
	if err := gob.NewEncoder(b.deflate).Encode(list); err != nil {
		return nil, eris.Wrap(err, "encode a bundle")
	}
	if err := b.deflate.Close(); err != nil {
		return nil, eris.Wrap(err, "close a bundle")
	}
	return out.Bytes(), nil
}

// bundleBytes bounds a decoded bundle. 340 hosts tell 80 KB in a round.
const bundleBytes = 4 << 20

// open decodes a bundle.
func (b *Bundle) open() ([]Relayed, error) {
	var list []Relayed
	raw := io.LimitReader(flate.NewReader(bytes.NewReader(b.Data)), bundleBytes)
	if err := gob.NewDecoder(raw).Decode(&list); err != nil {
		return nil, eris.Wrap(err, "decode a bundle")
	}
	return list, nil
}
