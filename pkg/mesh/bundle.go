package mesh

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
)

// Relayed is an update that a relay passes on.
type Relayed struct {
	// From is the sender. Most updates carry only its name.
	From Member
	// IncarnationHash distinguishes incarnations of the sender.
	IncarnationHash uint32
	// Number is the sender's number of the update.
	Number uint64
	// Age is the time from the sender's message to the closing of the bundle.
	Age time.Duration
	// ReadAge is the time since the sender last read the store.
	ReadAge time.Duration
	News    News
}

// Bundle holds the updates that a relay received between two of its rounds. It is
// encoded once for all hosts that request the same scope, as a compressed wireBundle.
type Bundle struct {
	// Age is the time since the bundle was closed.
	Age  time.Duration
	Data []byte
}

func incarnationHash(incarnation string) uint32 { return uint32(xxhash.Sum64String(incarnation)) }

const (
	// maxBundles is the number of bundles that a relay keeps for hosts that missed
	// some. A host that misses more loses only the sends in them, since later updates
	// replace everything else.
	maxBundles = 4
	// fullSenderUpdates is the number of a sender's first updates that are passed on
	// with all of its Member fields. Later, one in membersInterval is.
	fullSenderUpdates = 3
)

// relayBuffer collects the updates that a relay receives and groups them into
// bundles. It is safe for concurrent use.
type relayBuffer struct {
	mu sync.Mutex
	// pending are the updates of the next bundle.
	pending []bufferedUpdate
	// closed are the latest bundles, from the oldest to the newest.
	closed       []*closedBundle
	bundleNumber uint64
	// scratch, raw and compressor are reused for each bundle. raw is its uncompressed
	// encoding.
	scratch    wireBundle
	raw        []byte
	compressor *flate.Writer
}

type bufferedUpdate struct {
	update Relayed
	at     time.Time
	// direct is set if the sender itself sent the update to this relay.
	direct bool
}

// closedBundle is a bundle that takes no more updates. It is encoded for a scope at
// the first request.
type closedBundle struct {
	bundleNumber uint64
	at           time.Time
	updates      []bufferedUpdate
	data         map[Scope][]byte
}

// addUpdate adds an update, received at a time, to the next bundle.
func (b *relayBuffer) addUpdate(update Relayed, at time.Time, direct bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending = append(b.pending, bufferedUpdate{update, at, direct})
}

// closeBundle makes the pending updates available as a bundle.
func (b *relayBuffer) closeBundle(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bundleNumber++
	b.closed = append(b.closed, &closedBundle{bundleNumber: b.bundleNumber, at: now, updates: b.pending, data: map[Scope][]byte{}})
	b.pending = nil
	if len(b.closed) > maxBundles {
		b.closed = append(b.closed[:0], b.closed[1:]...)
	}
}

// reset drops all updates and bundles. The numbers of bundles continue.
func (b *relayBuffer) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.pending, b.closed = nil, nil
}

// addBundles adds the bundles that a host requests to a reply.
func (b *relayBuffer) addBundles(request Want, reply *Reply, now time.Time) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	reply.Newest = b.bundleNumber
	if request.After == 0 || request.After > b.bundleNumber {
		// The host has received no bundle since this relay's process started.
		request.After = 0
	}
	for _, bundle := range b.closed {
		if bundle.bundleNumber <= request.After {
			continue
		}
		data, known := bundle.data[request.Scope]
		if !known {
			var err error
			if data, err = b.encode(bundle, request.Scope); err != nil {
				return err
			}
			bundle.data[request.Scope] = data
		}
		if len(data) > 0 {
			reply.Bundles = append(reply.Bundles, Bundle{Age: now.Sub(bundle.at), Data: data})
		}
	}
	return nil
}

// encode encodes a bundle for a scope. It returns no data if the bundle has no
// update in the scope.
func (b *relayBuffer) encode(bundle *closedBundle, scope Scope) ([]byte, error) {
	b.scratch.Format = bundleFormat
	list := b.scratch.Relayed[:0]
	for _, buffered := range bundle.updates {
		if scope == ScopeDirect && !buffered.direct {
			continue
		}
		list = resized(list, len(list)+1)
		w := &list[len(list)-1]
		w.set(&buffered.update)
		w.Age += bundle.at.Sub(buffered.at)
	}
	b.scratch.Relayed = list
	if len(list) == 0 {
		return nil, nil
	}
	var err error
	if b.raw, err = b.scratch.MarshalMsg(b.raw[:0]); err != nil {
		return nil, eris.Wrap(err, "encode bundle")
	}
	if b.compressor == nil {
		if b.compressor, err = flate.NewWriter(io.Discard, flate.BestSpeed); err != nil {
			return nil, eris.Wrap(err, "create compressor")
		}
	}
	var out bytes.Buffer
	b.compressor.Reset(&out)
	if _, err := b.compressor.Write(b.raw); err != nil {
		return nil, eris.Wrap(err, "compress bundle")
	}
	if err := b.compressor.Close(); err != nil {
		return nil, eris.Wrap(err, "compress bundle")
	}
	return out.Bytes(), nil
}

// maxBundleBytes bounds the decompressed size of a bundle. The updates of 340 hosts
// in one round take 80 KB.
const maxBundleBytes = 4 << 20

// bundleDecoder decodes bundles and reuses its buffers for the next one.
type bundleDecoder struct {
	scratch       wireBundle
	internedNames internedNames
	decompressed  bytes.Buffer
	decompressor  io.ReadCloser
}

func newBundleDecoder() *bundleDecoder {
	return &bundleDecoder{decompressor: flate.NewReader(bytes.NewReader(nil)), internedNames: internedNames{}}
}

// decode calls take with each update of a bundle.
func (d *bundleDecoder) decode(bundle *Bundle, take func(*Relayed)) error {
	if err := d.decompressor.(flate.Resetter).Reset(bytes.NewReader(bundle.Data), nil); err != nil {
		return eris.Wrap(err, "reset decompressor")
	}
	d.decompressed.Reset()
	if _, err := d.decompressed.ReadFrom(io.LimitReader(d.decompressor, maxBundleBytes)); err != nil {
		return eris.Wrap(err, "decompress bundle")
	}
	if _, err := d.scratch.UnmarshalMsg(d.decompressed.Bytes()); err != nil {
		if d.scratch.Format != bundleFormat {
			return unsupportedFormat(d.scratch.Format)
		}
		return eris.Wrap(err, "decode bundle")
	}
	if d.scratch.Format != bundleFormat {
		return unsupportedFormat(d.scratch.Format)
	}
	for i := range d.scratch.Relayed {
		r := d.scratch.Relayed[i].relayed(d.internedNames)
		take(&r)
	}
	return nil
}
