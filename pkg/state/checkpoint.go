package state

import (
	"bytes"
	"compress/gzip"
	"crypto/sha256"
	"encoding/hex"
	"io"

	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/logrec"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// CheckpointChunkBytes is the size of one chunk of a checkpoint. Two encoded
// chunks fit into one log entry.
const CheckpointChunkBytes = 64 * 1024

// maxCheckpointBytes limits the size of a decompressed checkpoint.
const maxCheckpointBytes = 1 << 30

// Checkpoint describes a completed checkpoint: the last offset that it covers
// and the log time of its completion.
type Checkpoint struct {
	AsOf   model.Offset `json:"as_of"`
	TimeMS int64        `json:"time_ms"`
}

// applyCheckpointChunk only checks that the writer holds the shard. The chunks
// themselves are read from the log by a Collector.
func (t *Tables) applyCheckpointChunk(r *logrec.Record, _ *logrec.CheckpointChunk, _ position) *void {
	return t.requireHolder(r)
}

func (t *Tables) applyCheckpointDone(r *logrec.Record, body *logrec.CheckpointDone, at position) *void {
	if v := t.requireHolder(r); v != nil {
		return v
	}
	if body.AsOf >= at.offset {
		return newVoid(ReasonInvalid, "the checkpoint must cover only offsets before its own")
	}
	t.checkpoint = Checkpoint{AsOf: body.AsOf, TimeMS: at.timeMS}
	return nil
}

// ErrNoCheckpoint is returned when the entries contain no complete checkpoint.
var ErrNoCheckpoint = eris.New("no complete checkpoint")

// CheckpointRecords encodes a snapshot as checkpoint records, to be appended by
// the holder of CheckpointShard. Each record fits into one log entry.
func CheckpointRecords(s *Snapshot, checkpointID string, fence model.Offset) ([]logrec.Record, error) {
	packed, err := s.EncodeCompressed()
	if err != nil {
		return nil, err
	}
	var records []logrec.Record
	add := func(kind logrec.Kind, body any) error {
		r, err := logrec.New(kind, body)
		r.Shard, r.Fence = CheckpointShard, fence
		records = append(records, r)
		return err
	}
	digest := sha256.Sum256(packed)
	chunks := 0
	for rest := packed; len(rest) > 0; chunks++ {
		n := min(len(rest), CheckpointChunkBytes)
		if err := add(logrec.KindCheckpointChunk, logrec.CheckpointChunk{CheckpointID: checkpointID, Index: chunks, Data: rest[:n]}); err != nil {
			return nil, err
		}
		rest = rest[n:]
	}
	err = add(logrec.KindCheckpointDone, logrec.CheckpointDone{CheckpointID: checkpointID, AsOf: s.offset,
		Chunks: chunks, Digest: hex.EncodeToString(digest[:])})
	return records, err
}

// EncodeCompressed returns the output of WriteRows compressed with gzip. The rows are
// streamed, so that only the compressed bytes are held in memory.
func (s *Snapshot) EncodeCompressed() ([]byte, error) {
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if err := s.WriteRows(w); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, eris.Wrap(err, "compress checkpoint")
	}
	return packed.Bytes(), nil
}

// RestoreCompressed builds tables from the output of EncodeCompressed.
func RestoreCompressed(o Options, packed []byte) (*Tables, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, eris.Wrap(err, "decompress checkpoint")
	}
	return ReadRows(o, io.LimitReader(r, maxCheckpointBytes))
}
