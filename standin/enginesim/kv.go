package enginesim

import (
	"net/http"
	"time"

	"github.com/redwingpath/redwingpath/pkg/engine"
	"github.com/redwingpath/redwingpath/pkg/model"
)

// maxFinishedRequests is the number of ended requests whose KV cache can still
// be exported, for hosts that move a request to another engine after its prefill.
const maxFinishedRequests = 256

// finishedRequests keeps the requests that ended last. The field order holds their
// IDs, oldest first.
type finishedRequests struct {
	byID  map[model.RequestID]*sequence
	order []model.RequestID
}

func (f *finishedRequests) add(q *sequence) {
	if f.byID == nil {
		f.byID = map[model.RequestID]*sequence{}
	}
	f.byID[q.id] = q
	f.order = append(f.order, q.id)
	if len(f.order) > maxFinishedRequests {
		delete(f.byID, f.order[0])
		f.order = f.order[1:]
	}
}

func (e *Engine) serveKVExport(w http.ResponseWriter, q *http.Request) {
	var request engine.KVExport
	if !decodeBody(w, q, &request) {
		return
	}
	e.mu.Lock()
	s := e.byID[request.RequestID]
	if s == nil {
		s = e.finished.byID[request.RequestID]
	}
	var blob engine.KVBlob
	if s != nil {
		tokens := s.promptTokens + s.next - s.prefillLeft
		blob = engine.KVBlob{
			RequestID: s.id, Source: e.URL(), Hashes: s.hashes,
			Tokens: tokens, Bytes: int64(tokens) * e.config.KVBytesPerToken,
		}
	}
	e.mu.Unlock()
	if s == nil {
		http.Error(w, "request not known", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, blob)
}

// serveKVImport responds after the simulated transfer time.
func (e *Engine) serveKVImport(w http.ResponseWriter, q *http.Request) {
	var blob engine.KVBlob
	if !decodeBody(w, q, &blob) {
		return
	}
	transfer := time.Duration(float64(blob.Bytes) / e.config.KVBytesPerS * float64(time.Second))
	select {
	case <-time.After(transfer):
	case <-q.Context().Done():
		return
	}
	e.mu.Lock()
	e.importedTokens[blob.RequestID] = blob.Tokens
	e.cache.store(blob.Hashes)
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
