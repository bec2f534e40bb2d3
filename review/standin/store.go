package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time that the store takes for an answer.
const storeDelay = 4 * time.Millisecond

// maxPage is the most records that one page of /log-newest has.
const maxPage = 500

// store is the platform's store: a log with keyed topics. Its answers are linearizable and
// it loses nothing.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
}

type topic struct {
	records [][]byte
	newest  map[string]newest
}

type newest struct {
	value  []byte
	offset uint64
}

func newStore() *store {
	return &store{topics: map[string]*topic{}, appended: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newest{}}
		s.topics[name] = t
	}
	return t
}

// put writes the newest record of a key, as the operator or a runner does. No value removes
// the key.
func (s *store) put(name, key string, value any) {
	var raw []byte
	if value != nil {
		var err error
		if raw, err = json.Marshal(value); err != nil {
			panic(err)
		}
	}
	s.append(name, [][]byte{append(append([]byte{byte(len(key))}, key...), raw...)}, nil)
}

func (s *store) append(name string, records [][]byte, at *uint64) (offset, end uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	offset = uint64(len(t.records))
	if at != nil && *at != offset {
		return 0, offset, false
	}
	for _, r := range records {
		if strings.HasPrefix(name, "keyed.") && len(r) > 0 {
			n := 1 + int(r[0])
			key, value := string(r[1:n]), r[n:]
			if len(value) == 0 {
				delete(t.newest, key)
			} else {
				t.newest[key] = newest{value, uint64(len(t.records))}
			}
		}
		t.records = append(t.records, r)
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return offset, uint64(len(t.records)), true
}

// open serves the store at a loopback address.
func (s *store) open() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	go func() { _ = http.Serve(l, s) }()
	return l.Addr().String()
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(storeDelay)
	name := r.URL.Query().Get("topic")
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, name, r.URL.Query().Get("at"), body)
	case "/log-read":
		s.serveRead(w, r, name)
	case "/log-newest":
		s.serveNewest(w, name, r.URL.Query().Get("after"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, name, at string, body []byte) {
	if name == "keyed.op" || name == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	var records [][]byte
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		records = append(records, body[4:4+n])
		body = body[4+n:]
	}
	var expected *uint64
	if at != "" {
		n, err := strconv.ParseUint(at, 10, 64)
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		expected = &n
	}
	offset, end, ok := s.append(name, records, expected)
	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		writeJSON(w, map[string]uint64{"end": end})
		return
	}
	writeJSON(w, map[string]uint64{"offset": offset, "end": end})
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(name)
		end, appended := uint64(len(t.records)), s.appended
		var records [][]byte
		if from < end {
			records = t.records[from:]
		}
		s.mu.Unlock()
		if len(records) > 0 || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, end)
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records {
				out = binary.BigEndian.AppendUint32(out, uint32(len(record)))
				out = append(out, record...)
			}
			_, _ = w.Write(out)
			return
		}
		select {
		case <-appended:
		case <-deadline:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, name, after string) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset uint64 `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(name)
	end := len(t.records)
	items := []item{}
	for key, n := range t.newest {
		if key > after {
			items = append(items, item{key, base64.StdEncoding.EncodeToString(n.value), n.offset})
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	more := len(items) > maxPage
	items = items[:min(len(items), maxPage)]
	writeJSON(w, map[string]any{"items": items, "has_more": more, "end": end})
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// openAPI serves the platform's API, which accepts all calls that bear the highest fencing
// token for their path so far.
func openAPI() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	var mu sync.Mutex
	highest := map[string]uint64{}
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			fence, _ := strconv.ParseUint(r.Header.Get("Fence-Token"), 10, 64)
			mu.Lock()
			defer mu.Unlock()
			if fence < highest[r.URL.Path] {
				w.WriteHeader(http.StatusConflict)
				return
			}
			highest[r.URL.Path] = fence
		}))
	}()
	return l.Addr().String()
}
