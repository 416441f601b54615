package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's metadata store: a log whose topics are keyed and have one
// partition. It refuses records and calls that are larger than the platform allows with 400.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed at each append

	largest   int            // largest record so far, in bytes
	oversized int            // calls that were refused for a record over recordBytes
	refused   map[string]int // the same by key of the record
}

type keyedRecord struct {
	key, value string
	at         time.Time
}

type topic struct {
	records []keyedRecord
	first   int   // oldest retained offset
	epoch   int64 // highest epoch of a producer
	next    int64 // sequence number that follows the last one of that epoch
	answers map[int64][2]int
	newest  map[string]int // offset of the newest record of each key
}

const (
	recordBytes = 262144
	callBytes   = 2097152
	keepS       = 20
)

func newStore() *store {
	return &store{topics: make(map[string]*topic), appended: make(chan struct{}), refused: make(map[string]int)}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{answers: make(map[int64][2]int), newest: make(map[string]int)}
		s.topics[name] = t
	}
	return t
}

func (t *topic) add(key, value string) {
	t.newest[key] = len(t.records)
	t.records = append(t.records, keyedRecord{key, value, time.Now()})
	if value == "" {
		delete(t.newest, key)
	}
}

// put appends a record as the operator or a worker does.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add(key, value)
	s.wake()
}

func (s *store) wake() {
	close(s.appended)
	s.appended = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.list(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // the caller may have left
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	status, answer := s.appendLocked(q.Get("topic"), q.Get("at"), q.Get("epoch"), q.Get("seq"), body)
	s.mu.Unlock()
	reply(w, status, answer)
}

func (s *store) appendLocked(name, at, epoch, seq string, body []byte) (int, any) {
	t := s.topic(name)
	var records []keyedRecord
	total := 0
	for rest := body; len(rest) >= 4; {
		size := int(binary.BigEndian.Uint32(rest))
		if size > len(rest)-4 || size < 1 || 1+int(rest[4]) > size {
			return http.StatusBadRequest, map[string]string{"reason": "record"}
		}
		record := rest[4 : 4+size]
		key := string(record[1 : 1+int(record[0])])
		s.largest = max(s.largest, size)
		if size > recordBytes {
			s.oversized++
			s.refused[key]++
			return http.StatusBadRequest, map[string]string{"reason": "recordBytes"}
		}
		total += size
		records = append(records, keyedRecord{key: key, value: string(record[1+len(key):])})
		rest = rest[4+size:]
	}
	if total > callBytes {
		return http.StatusBadRequest, map[string]string{"reason": "callBytes"}
	}
	end := len(t.records)
	if at != "" && at != strconv.Itoa(end) {
		return http.StatusPreconditionFailed, map[string]int{"end": end}
	}
	if epoch != "" {
		e, _ := strconv.ParseInt(epoch, 10, 64)
		n, _ := strconv.ParseInt(seq, 10, 64)
		switch {
		case e < t.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case e > t.epoch:
			t.epoch, t.next = e, n
			clear(t.answers)
		}
		if len(records) > 0 || n != t.next {
			if a, repeated := t.answers[n]; repeated && n < t.next && n >= t.next-5 {
				return http.StatusOK, map[string]int{"offset": a[0], "end": a[1]}
			}
			if n != t.next {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": t.next}
			}
		}
		t.answers[n] = [2]int{end, end + len(records)}
		t.next = n + 1
	}
	for _, rec := range records {
		t.add(rec.key, rec.value)
	}
	s.wake()
	return http.StatusOK, map[string]int{"offset": end, "end": len(t.records)}
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	limit := 1024 << 10
	if kb, err := strconv.Atoi(q.Get("maxKb")); err == nil {
		limit = kb << 10
	}
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		for t.first < len(t.records) && time.Since(t.records[t.first].at) > keepS*time.Second {
			t.first++
		}
		records, first, appended := t.records, t.first, s.appended
		s.mu.Unlock()
		if from < first {
			reply(w, http.StatusGone, map[string]int{"first": first})
			return
		}
		if len(records) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, uint64(first))
			for _, rec := range records[min(from, len(records)):] {
				if len(out) > 16 && len(out)+len(rec.key)+len(rec.value)+5 > limit {
					break
				}
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec.key)+len(rec.value)))
				out = append(out, byte(len(rec.key)))
				out = append(out, rec.key...)
				out = append(out, rec.value...)
			}
			_, _ = w.Write(out) // the caller may have left
			return
		}
		select {
		case <-appended:
		case <-timeout:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// list answers with a page of the newest record of each key, in the order of their offsets.
func (s *store) list(w http.ResponseWriter, r *http.Request) {
	time.Sleep(4 * time.Millisecond)
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	start := 0
	if after := q.Get("dependsOn"); after != "" {
		if offset, known := t.newest[after]; known {
			start = offset + 1
		}
	}
	items, size, more := []map[string]any{}, 0, false
	for i := start; i < len(t.records); i++ {
		rec := t.records[i]
		if offset, known := t.newest[rec.key]; !known || offset != i {
			continue
		}
		if len(items) == 500 || len(items) > 0 && size+len(rec.value) > 1<<20 {
			more = true
			break
		}
		size += len(rec.value)
		items = append(items, map[string]any{"key": rec.key, "offset": i, "value": base64.StdEncoding.EncodeToString([]byte(rec.value))})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}
