package mesh

import (
	"bytes"
	"compress/flate"
	"encoding/gob"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/mirror"
)

// pullTimeout bounds a call for a peer's records. A relay with a slow link sends a
// configuration of 2,000 routes to 16 hosts in two thirds of this time. With a second
// attempt at another peer, a change is in force within two seconds.
const pullTimeout = 900 * time.Millisecond

// packedReplyCache caches packed records by the arguments of the request, since many
// hosts request a new record at the same time. It is safe for concurrent use.
type packedReplyCache struct {
	mu      sync.Mutex
	entries map[RecordsArgs]packedReply
}

type packedReply struct {
	end   uint64
	whole bool
	data  []byte
}

// get returns the records for the arguments in packed form, and packs them unless the
// cache has the same records up to the same end.
func (p *packedReplyCache) get(args RecordsArgs, changes mirror.Changes) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.entries[args]; ok && a.end == changes.End && a.whole == changes.Whole {
		return a.data, nil
	}
	data, err := pack(changes.Records)
	if err != nil {
		return nil, err
	}
	if len(p.entries) >= maxPackedReplies {
		p.entries = nil
	}
	if p.entries == nil {
		p.entries = map[RecordsArgs]packedReply{}
	}
	p.entries[args] = packedReply{changes.End, changes.Whole, data}
	return data, nil
}

// maxPackedReplies bounds the cached replies. Hosts that lack different records request
// them from different offsets.
const maxPackedReplies = 16

// pack encodes and compresses records. Configurations shrink to a tenth of their size.
func pack(records []mirror.Record) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "create compressor")
	}
	if err := gob.NewEncoder(w).Encode(records); err != nil {
		return nil, eris.Wrap(err, "encode records")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress records")
	}
	return out.Bytes(), nil
}

// maxRecordsBytes bounds the decompressed records of one reply, which are at most what
// the store returns for a topic.
const maxRecordsBytes = 64 << 20

// unpack reverses pack.
func unpack(data []byte) ([]mirror.Record, error) {
	var records []mirror.Record
	raw := io.LimitReader(flate.NewReader(bytes.NewReader(data)), maxRecordsBytes)
	if err := gob.NewDecoder(raw).Decode(&records); err != nil {
		return nil, eris.Wrap(err, "decode records")
	}
	return records, nil
}
