package state

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
	"github.com/rotisserie/eris"

	"github.com/redwingpath/redwingpath/pkg/model"
)

// checkpointFormat must be increased when the rows change in a way that older
// binaries would misread.
const checkpointFormat = 1

// Names of the rows that are not table entries.
const (
	rowHeader = "header"
	rowSeen   = "seen"
)

// savedRow is one line of a checkpoint, usually an entry of a table. Indexes
// and queues are not saved, since they are derived from the tables.
type savedRow struct {
	Table string          `json:"t"`
	Key   string          `json:"k,omitempty"`
	Value json.RawMessage `json:"v"`
}

// header is the value of the first row.
type header struct {
	Format     int          `json:"format"`
	Offset     model.Offset `json:"offset"`
	TimeMS     int64        `json:"time_ms"`
	Checkpoint Checkpoint   `json:"checkpoint"`
}

// rowWriter writes rows and keeps the first error. After an error it writes
// nothing.
type rowWriter struct {
	encoder *json.Encoder
	err     error
}

func (w *rowWriter) writeRow(table, key string, value any) {
	if w.err != nil {
		return
	}
	// A savedRow would need the value to be encoded into a json.RawMessage first.
	w.err = w.encoder.Encode(struct {
		Table string `json:"t"`
		Key   string `json:"k,omitempty"`
		Value any    `json:"v"`
	}{table, key, value})
}

func writeTable[T any](w *rowWriter, name string, tree *iradix.Tree[T]) {
	forEach(tree, func(key string, value T) { w.writeRow(name, key, value) })
}

// WriteRows writes the tables as lines of JSON. The order of the lines depends
// only on the content, so that equal tables give equal bytes.
func (s *Snapshot) WriteRows(out io.Writer) error {
	w := &rowWriter{encoder: json.NewEncoder(out)}
	w.writeRow(rowHeader, "", header{Format: checkpointFormat, Offset: s.offset, TimeMS: s.timeMS, Checkpoint: s.checkpoint})
	writeTable(w, "organisations", s.organisations)
	writeTable(w, "keys", s.keys)
	writeTable(w, "shops", s.shops)
	writeTable(w, "offers", s.offers)
	writeTable(w, "routes", s.routes)
	writeTable(w, "pools", s.pools)
	writeTable(w, "drains", s.drains)
	writeTable(w, "deleted", s.deleted)
	writeTable(w, "members", s.members)
	writeTable(w, "failed", s.failed)
	writeTable(w, "incarnations", s.incarnations)
	writeTable(w, "shards", s.shards)
	writeTable(w, "intents", s.intents)
	writeTable(w, "idempotency", s.idempotency)
	writeTable(w, "crashes", s.crashes)
	writeTable(w, "open_usage", s.openUsage)
	writeTable(w, "sequences", s.sequences)
	writeTable(w, "windows", s.windows)
	writeTable(w, "sealed", s.sealed)
	for _, bucket := range s.seen {
		w.writeRow(rowSeen, "", bucket)
	}
	return eris.Wrap(w.err, "encode checkpoint")
}

// Encode returns the output of WriteRows.
func (s *Snapshot) Encode() ([]byte, error) {
	var data bytes.Buffer
	err := s.WriteRows(&data)
	return data.Bytes(), err
}

// Restore builds tables from the output of Encode.
func Restore(o Options, data []byte) (*Tables, error) { return ReadRows(o, bytes.NewReader(data)) }

// rowLoader loads the value of one row.
type rowLoader func(key string, value json.RawMessage) error

func loadInto[T any](t *table[T]) rowLoader {
	return func(key string, value json.RawMessage) error {
		var v T
		if err := json.Unmarshal(value, &v); err != nil {
			return err
		}
		t.set(key, v)
		return nil
	}
}

// loadIndexed also writes the index entries of each configuration entity.
func loadIndexed[T any](t *table[row[T]], index func(id string, old, next *T)) rowLoader {
	load := loadInto(t)
	return func(key string, value json.RawMessage) error {
		if err := load(key, value); err != nil {
			return err
		}
		entity, _ := t.get(key)
		index(key, nil, &entity.Value)
		return nil
	}
}

func (t *Tables) rowLoaders(seen *[]seenBucket) map[string]rowLoader {
	return map[string]rowLoader{
		rowHeader:       t.loadHeader,
		"organisations": loadInto(&t.organisations),
		"keys":          loadIndexed(&t.keys, t.indexKey),
		"shops":         loadIndexed(&t.shops, t.indexShop),
		"offers":        loadIndexed(&t.offers, t.indexOffer),
		"routes":        loadIndexed(&t.routes, t.indexRoute),
		"pools":         loadInto(&t.pools),
		"drains":        loadInto(&t.drains),
		"deleted":       loadInto(&t.deleted),
		"members":       loadInto(&t.members),
		"failed":        loadInto(&t.failed),
		"incarnations":  loadInto(&t.incarnations),
		"shards":        loadInto(&t.shards),
		"intents":       loadInto(&t.intents),
		"idempotency":   loadInto(&t.idempotency),
		"crashes":       loadInto(&t.crashes),
		"open_usage":    loadInto(&t.usage.open),
		"sequences":     loadInto(&t.usage.sequences),
		"windows":       loadInto(&t.usage.windows),
		"sealed":        loadInto(&t.usage.sealed),
		rowSeen: func(_ string, value json.RawMessage) error {
			var bucket seenBucket
			err := json.Unmarshal(value, &bucket)
			*seen = append(*seen, bucket)
			return err
		},
	}
}

func (t *Tables) loadHeader(_ string, value json.RawMessage) error {
	var h header
	if err := json.Unmarshal(value, &h); err != nil {
		return err
	}
	if h.Format != checkpointFormat {
		return eris.Errorf("checkpoint format %d is not known", h.Format)
	}
	t.offset, t.timeMS, t.checkpoint = h.Offset, h.TimeMS, h.Checkpoint
	return nil
}

// ReadRows builds tables from the output of WriteRows.
func ReadRows(o Options, in io.Reader) (*Tables, error) {
	t := New(o)
	var seen []seenBucket
	loaders := t.rowLoaders(&seen)
	decoder := json.NewDecoder(in)
	for rows := 0; ; rows++ {
		var r savedRow
		err := decoder.Decode(&r)
		if errors.Is(err, io.EOF) && rows > 0 {
			break
		}
		if err != nil {
			return nil, eris.Wrap(err, "decode checkpoint")
		}
		load, ok := loaders[r.Table]
		if !ok || (r.Table == rowHeader) != (rows == 0) {
			return nil, eris.Errorf("checkpoint row %d: unexpected %q", rows, r.Table)
		}
		if err := load(r.Key, r.Value); err != nil {
			return nil, eris.Wrapf(err, "checkpoint row %d of %s", rows, r.Table)
		}
	}
	t.rebuildDerived(seen)
	return t, nil
}

// rebuildDerived rebuilds the indexes and queues that are not saved.
func (t *Tables) rebuildDerived(seen []seenBucket) {
	forEach(t.intents.freeze(), func(orderID string, i OpenIntent) {
		if i.Backend != "" {
			t.intentByBackend.set(string(i.Backend), orderID)
		}
	})
	t.seen = newSeenIDs(seen)
	t.rebuildExpiry()
}
