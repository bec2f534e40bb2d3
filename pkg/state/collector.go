package state

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/platform"
)

// Collector assembles checkpoints from the checkpoint records of log entries,
// which may be added in any order. The content of a checkpoint depends only on
// the offset that it covers, so that a checkpoint of any writer is valid if its
// digest matches.
type Collector struct {
	parts map[string]*checkpointParts
}

// checkpointParts are the records of one checkpoint collected so far.
type checkpointParts struct {
	chunks map[int][]byte
	done   *logrec.CheckpointDone
}

// NewCollector returns an empty collector.
func NewCollector() *Collector { return &Collector{parts: map[string]*checkpointParts{}} }

// Add collects the checkpoint records of one entry.
func (c *Collector) Add(entry platform.LogEntry) {
	records, _ := logrec.Decode(entry.Data)
	for i := range records {
		r := &records[i]
		if r.Version != logrec.SchemaVersion {
			continue
		}
		switch r.Kind {
		case logrec.KindCheckpointChunk:
			if b, err := logrec.DecodeBody[logrec.CheckpointChunk](r); err == nil {
				c.part(b.CheckpointID).chunks[b.Index] = b.Data
			}
		case logrec.KindCheckpointDone:
			if b, err := logrec.DecodeBody[logrec.CheckpointDone](r); err == nil {
				c.part(b.CheckpointID).done = &b
			}
		}
	}
}

func (c *Collector) part(id string) *checkpointParts {
	p, ok := c.parts[id]
	if !ok {
		p = &checkpointParts{chunks: map[int][]byte{}}
		c.parts[id] = p
	}
	return p
}

// Restore builds tables from the newest complete checkpoint. Checkpoints whose
// digest does not match are skipped. The error wraps ErrNoCheckpoint if there
// is none.
func (c *Collector) Restore(o Options) (*Tables, error) {
	var best *Tables
	for _, p := range c.parts {
		if p.done == nil || (best != nil && p.done.AsOf <= best.Offset()) {
			continue
		}
		packed, ok := p.assemble()
		if !ok {
			continue
		}
		t, err := RestoreCompressed(o, packed)
		if err == nil && t.Offset() == p.done.AsOf {
			best = t
		}
	}
	if best == nil {
		return nil, eris.Wrap(ErrNoCheckpoint, "restore")
	}
	return best, nil
}

// assemble joins the chunks and reports whether all are present and match the
// digest.
func (p *checkpointParts) assemble() ([]byte, bool) {
	if p.done.Chunks != len(p.chunks) {
		return nil, false
	}
	var packed []byte
	for i := range p.done.Chunks {
		data, ok := p.chunks[i]
		if !ok {
			return nil, false
		}
		packed = append(packed, data...)
	}
	digest := sha256.Sum256(packed)
	return packed, hex.EncodeToString(digest[:]) == p.done.Digest
}
