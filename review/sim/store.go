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
	"sync"
	"time"
)

// Limits of the store, as the settings of a small deployment name them.
const (
	recordBytes = 262_144
	callBytes   = 2_097_152
	pageItems   = 500
	pageBytes   = 1 << 20
)

// logRecord is one record of a keyed topic. A record without a value drops its key.
type logRecord struct {
	key, value string
}

// logTopic is a topic with one partition. It keeps all of its records, which the platform may do.
type logTopic struct {
	records []logRecord
	newest  map[string]int64 // offset of the newest record of each key that has a value
	epoch   int64            // of the only producer that the product uses
	seq     int64
	answers map[int64]appendAnswer // of the last five appends of the epoch
}

type appendAnswer struct {
	Offset int64 `json:"offset"`
	End    int64 `json:"end"`
}

// store is a stand-in for the platform's metadata store in its log form. Each instance has an
// address of its own, so that one can be told from the other and cut off alone.
type store struct {
	sim      *sim
	mu       sync.Mutex
	topics   map[string]*logTopic
	appended chan struct{}  // closed at each append
	lastAt   string         // the instance that last wrote under a condition
	refused  map[string]int // answers other than 200, by instance and path
}

func newStore(s *sim) *store {
	return &store{sim: s, topics: make(map[string]*logTopic), appended: make(chan struct{}), refused: make(map[string]int)}
}

func (s *store) topic(name string) *logTopic {
	t := s.topics[name]
	if t == nil {
		t = &logTopic{newest: make(map[string]int64), answers: make(map[int64]appendAnswer)}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator or a worker does.
func (s *store) put(topic, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(topic).add(logRecord{key, value})
	s.wake()
}

func (t *logTopic) add(r logRecord) {
	t.records = append(t.records, r)
	if r.value == "" {
		delete(t.newest, r.key)
		return
	}
	t.newest[r.key] = int64(len(t.records) - 1)
}

// wake ends the waits of readers. The caller holds s.mu.
func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

// conditionalWriter returns the instance that last wrote under a condition.
func (s *store) conditionalWriter() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastAt
}

// serveFor serves the store to one instance and returns the address.
func (s *store) serveFor(instance string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.sim.must(err)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/log-append", func(w http.ResponseWriter, r *http.Request) { s.handleAppend(instance, w, r) })
	mux.HandleFunc("GET /-/log-read", s.handleRead)
	mux.HandleFunc("GET /-/log-newest", s.handleNewest)
	go func() { _ = http.Serve(l, mux) }()
	return l.Addr().String()
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) handleAppend(instance string, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4*time.Millisecond + roundTrip) // an answer takes 4 ms
	q := r.URL.Query()
	s.mu.Lock()
	status, answer := s.append(instance, q.Get("topic"), q.Get("at"), q.Get("epoch"), q.Get("seq"), body)
	s.mu.Unlock()
	if status >= 400 && status != http.StatusPreconditionFailed && status != http.StatusConflict {
		s.sim.note("store", "refuses an append of %s to %s with %d: %v (%d bytes)", instance, q.Get("topic"), status, answer, len(body))
	}
	writeJSON(w, status, answer)
}

// append appends the records in body. The caller holds s.mu.
func (s *store) append(instance, name, at, epoch, seq string, body []byte) (int, any) {
	if name == "keyed.op" || name == "keyed.servers" {
		return http.StatusForbidden, nil
	}
	var records []logRecord
	if len(body) > callBytes {
		return http.StatusBadRequest, map[string]string{"error": "the records of the call total more than callBytes"}
	}
	for rest := body; len(rest) > 0; {
		if len(rest) < 5 {
			return http.StatusBadRequest, map[string]string{"error": "a record is cut off"}
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > recordBytes {
			return http.StatusBadRequest, map[string]string{"error": "a record of " + strconv.Itoa(size) + " bytes is longer than recordBytes"}
		}
		if size < 1 || len(rest) < 4+size || 1+int(rest[4]) > size {
			return http.StatusBadRequest, map[string]string{"error": "a record is cut off"}
		}
		rec := rest[4 : 4+size]
		key := 1 + int(rec[0])
		records = append(records, logRecord{string(rec[1:key]), string(rec[key:])})
		rest = rest[4+size:]
	}
	t := s.topic(name)
	end := int64(len(t.records))
	if at != "" {
		if at != strconv.FormatInt(end, 10) {
			return http.StatusPreconditionFailed, map[string]int64{"end": end}
		}
		s.lastAt = instance
	}
	n := int64(0)
	if epoch != "" {
		e, _ := strconv.ParseInt(epoch, 10, 64)
		n, _ = strconv.ParseInt(seq, 10, 64)
		switch {
		case e < t.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case e > t.epoch:
			t.epoch, t.seq, t.answers = e, n-1, make(map[int64]appendAnswer)
			if len(records) == 0 {
				t.seq = n
			}
		}
		if len(records) == 0 {
			return http.StatusOK, appendAnswer{end, end}
		}
		if a, ok := t.answers[n]; ok {
			return http.StatusOK, a
		}
		if n != t.seq+1 {
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": t.seq + 1}
		}
		t.seq = n
	}
	for _, rec := range records {
		t.add(rec)
	}
	a := appendAnswer{end, int64(len(t.records))}
	if epoch != "" {
		t.answers[n] = a
		delete(t.answers, n-5)
	}
	s.wake()
	return http.StatusOK, a
}

func (s *store) handleRead(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4*time.Millisecond + roundTrip)
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records, appended := s.topic(q.Get("topic")).records, s.appended
		s.mu.Unlock()
		if int64(len(records)) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, int64(len(records))):] {
				if len(out) > pageBytes {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
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

func (s *store) handleNewest(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4*time.Millisecond + roundTrip)
	q := r.URL.Query()
	after := q.Get("dependsOn")
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	keys := make([]string, 0, len(t.newest))
	for k := range t.newest {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	items, size, more := []map[string]any{}, 0, false
	for _, k := range keys {
		if len(items) == pageItems || size > pageBytes {
			more = true
			break
		}
		offset := t.newest[k]
		value := t.records[offset].value
		size += len(value)
		items = append(items, map[string]any{"key": k, "value": base64.StdEncoding.EncodeToString([]byte(value)), "offset": offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}
