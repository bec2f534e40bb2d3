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

// pullTimeout bounds a call for a peer's records. A small relay sends a configuration
// of 2,000 routes to 16 hosts in two thirds of it; with a second try at another
// peer, a change is in force within two seconds.
const pullTimeout = 900 * time.Millisecond

// packedRecords keeps the last answer for each topic, since many hosts ask for a new
// record at once. It is safe for concurrent use.
type packedRecords struct {
	mu   sync.Mutex
	last map[RecordsArgs]packedAnswer
}

type packedAnswer struct {
	end  uint64
	data []byte
}

// get packs records that follow an offset up to an end, or returns those packed before.
func (p *packedRecords) get(args RecordsArgs, end uint64, records []mirror.Record) ([]byte, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if a, ok := p.last[args]; ok && a.end == end {
		return a.data, nil
	}
	data, err := pack(records)
	if err != nil {
		return nil, err
	}
	if len(p.last) >= packedMost {
		p.last = nil
	}
	if p.last == nil {
		p.last = map[RecordsArgs]packedAnswer{}
	}
	p.last[args] = packedAnswer{end, data}
	return data, nil
}

// packedMost bounds the answers that are kept: hosts that are behind by different
// records ask from different offsets.
const packedMost = 16

// pack encodes and compresses records. Configurations become a tenth of their size.
func pack(records []mirror.Record) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, eris.Wrap(err, "open a compressor")
	}
	if err := gob.NewEncoder(w).Encode(records); err != nil {
		return nil, eris.Wrap(err, "encode records")
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress records")
	}
	return out.Bytes(), nil
}

// recordsBytes bounds the records of one answer, which are at most what the store
// returns for a topic.
const recordsBytes = 64 << 20

func unpack(data []byte) ([]mirror.Record, error) {
	var records []mirror.Record
	raw := io.LimitReader(flate.NewReader(bytes.NewReader(data)), recordsBytes)
	if err := gob.NewDecoder(raw).Decode(&records); err != nil {
		return nil, eris.Wrap(err, "decode a peer's records")
	}
	return records, nil
}
