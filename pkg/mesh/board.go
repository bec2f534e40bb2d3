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
	// ReadAge is the time since the sender has read the store.
	ReadAge time.Duration
	News    News
}

// Bundle is what a relay has heard between two of its rounds, encoded once for all
// hosts. Types are not in it: the relay's Types come before its first one.
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
	mu     sync.Mutex
	open   []posting
	kept   []*sealed
	number uint64
	// encoder writes to raw. It writes types once, which are kept in types.
	encoder *gob.Encoder
	raw     bytes.Buffer
	types   []byte
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

// answer adds the bundles that a host wants to a reply.
func (b *board) answer(w Want, reply *Reply, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Newest = b.number
	if w.After == 0 || w.After > b.number {
		// The host has none of this relay's life.
		w.After = 0
		if err := b.prepare(); err != nil {
			return err
		}
		reply.Types = b.types
	}
	for _, s := range b.kept {
		if s.number <= w.After {
			continue
		}
		data, known := s.data[w.Scope]
		if !known {
			var err error
			if data, err = b.encode(s, w.Scope); err != nil {
				return err
			}
			s.data[w.Scope] = data
		}
		if len(data) > 0 {
			reply.Bundles = append(reply.Bundles, Bundle{Age: now.Sub(s.at), Data: data})
		}
	}
	return nil
}

// prepare opens the encoder. Hosts decode bundles of one relay ten times a second,
// and reading the types anew is most of the work.
func (b *board) prepare() error {
	if b.encoder != nil {
		return nil
	}
	encoder := gob.NewEncoder(&b.raw)
	if err := encoder.Encode([]Relayed{}); err != nil {
		return eris.Wrap(err, "encode the types of bundles")
	}
	deflate, err := flate.NewWriter(io.Discard, flate.BestSpeed)
	if err != nil {
		return eris.Wrap(err, "open a compressor")
	}
	b.encoder, b.deflate, b.types = encoder, deflate, bytes.Clone(b.raw.Bytes())
	return nil
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
	if err := b.prepare(); err != nil {
		return nil, err
	}
	b.raw.Reset()
	if err := b.encoder.Encode(list); err != nil {
		return nil, eris.Wrap(err, "encode a bundle")
	}
	var out bytes.Buffer
	b.deflate.Reset(&out)
	if _, err := b.deflate.Write(b.raw.Bytes()); err != nil {
		return nil, eris.Wrap(err, "compress a bundle")
	}
	if err := b.deflate.Close(); err != nil {
		return nil, eris.Wrap(err, "compress a bundle")
	}
	return out.Bytes(), nil
}

// bundleBytes bounds a bundle before it is decoded. 340 hosts tell 80 KB in a round.
const bundleBytes = 4 << 20

// unbundler decodes the bundles of one life of a relay.
type unbundler struct {
	decoder *gob.Decoder
	raw     bytes.Buffer
	inflate io.ReadCloser
}

// newUnbundler takes a relay's types.
func newUnbundler(types []byte) (*unbundler, error) {
	u := &unbundler{inflate: flate.NewReader(bytes.NewReader(nil))}
	u.decoder = gob.NewDecoder(&u.raw)
	u.raw.Write(types)
	var none []Relayed
	if err := u.decoder.Decode(&none); err != nil {
		return nil, eris.Wrap(err, "decode the types of bundles")
	}
	return u, nil
}

// open decodes a bundle. After a failure the unbundler is of no more use.
func (u *unbundler) open(b *Bundle) ([]Relayed, error) {
	if err := u.inflate.(flate.Resetter).Reset(bytes.NewReader(b.Data), nil); err != nil {
		return nil, eris.Wrap(err, "open a bundle")
	}
	u.raw.Reset()
	if _, err := u.raw.ReadFrom(io.LimitReader(u.inflate, bundleBytes)); err != nil {
		return nil, eris.Wrap(err, "decompress a bundle")
	}
	var list []Relayed
	if err := u.decoder.Decode(&list); err != nil {
		return nil, eris.Wrap(err, "decode a bundle")
	}
	return list, nil
}
