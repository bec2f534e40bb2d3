package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's store with the calls that hosts use: append, read and the newest
// record of each key.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{}
	address  string
}

type topic struct {
	records [][]byte
	newest  map[string]keyed
}

type keyed struct {
	key    string
	value  []byte
	offset uint64
}

func openStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{topics: map[string]*topic{}, appended: make(chan struct{}), address: listener.Addr().String()}
	go func() { _ = http.Serve(listener, s) }()
	return s, nil
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]keyed{}}
		s.topics[name] = t
	}
	return t
}

// put writes the newest record of a key, as the operator or a runner does; nil removes it.
func (s *store) put(name, key string, value any) {
	var raw []byte
	if value != nil {
		raw, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.append(name, append(append([]byte{byte(len(key))}, key...), raw...))
}

// append appends a record. The caller holds s.mu.
func (s *store) append(name string, record []byte) uint64 {
	t := s.topic(name)
	offset := uint64(len(t.records))
	if strings.HasPrefix(name, "keyed.") && len(record) > int(record[0]) {
		n := 1 + int(record[0])
		key := string(record[1:n])
		if t.newest[key] = (keyed{key, record[n:], offset}); len(record) == n {
			delete(t.newest, key)
		}
	}
	t.records = append(t.records, record)
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch r.URL.Path {
	case "/log-append":
		s.serveAppend(w, q.Get("topic"), q.Get("at"), body)
	case "/log-read":
		s.serveRead(w, r, q.Get("topic"))
	case "/log-newest":
		s.serveNewest(w, q.Get("topic"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) serveAppend(w http.ResponseWriter, name, at string, body []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := uint64(len(s.topic(name).records))
	if at != "" && at != strconv.FormatUint(end, 10) {
		w.WriteHeader(http.StatusPreconditionFailed)
		_, _ = fmt.Fprintf(w, `{"end":%d}`, end)
		return
	}
	for len(body) >= 4 {
		n := int(binary.BigEndian.Uint32(body))
		if n > len(body)-4 {
			break
		}
		s.append(name, append([]byte(nil), body[4:4+n]...))
		body = body[4+n:]
	}
	_, _ = fmt.Fprintf(w, `{"offset":%d,"end":%d}`, end, len(s.topic(name).records))
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, name string) {
	q := r.URL.Query()
	from, _ := strconv.ParseUint(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t, appended := s.topic(name), s.appended
		records := t.records
		s.mu.Unlock()
		if from < uint64(len(records)) || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, record := range records[min(from, uint64(len(records))):] {
				out = append(binary.BigEndian.AppendUint32(out, uint32(len(record))), record...)
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

func (s *store) serveNewest(w http.ResponseWriter, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []map[string]any{}
	t := s.topic(name)
	for key, k := range t.newest {
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString(k.value), "offset": k.offset})
	}
	sort.Slice(items, func(i, j int) bool { return items[i]["key"].(string) < items[j]["key"].(string) })
	_ = json.NewEncoder(w).Encode(map[string]any{"items": items, "has_more": false, "end": len(t.records)})
}

// openAPI starts the platform's API, which accepts every call.
func openAPI(address string) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", err
	}
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) }))
	}()
	return listener.Addr().String(), nil
}
