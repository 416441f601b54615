package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log: keyed topics of one partition, of which it keeps every record.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	appended chan struct{} // closed at each append
}

type topic struct {
	records [][2]string // key, value
	epoch   int64       // highest epoch of a producer
	seq     int64       // sequence number of its last append
}

func newStore() *store {
	return &store{topics: make(map[string]*topic), appended: make(chan struct{})}
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// put appends a record as the operator or a worker does.
func (s *store) put(name, key, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = append(t.records, [2]string{key, value})
	close(s.appended)
	s.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		time.Sleep(3 * time.Millisecond) // appendMs in the settings
		s.mu.Lock()
		status, answer := s.append(q.Get("topic"), q.Get("at"), q.Get("epoch"), q.Get("seq"), body)
		s.mu.Unlock()
		reply(w, status, answer)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newest(w, q.Get("topic"), q.Get("dependsOn"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the client may have disconnected
}

// append appends the records in body. The caller holds s.mu.
func (s *store) append(name, at, epoch, seq string, body []byte) (int, any) {
	t := s.topic(name)
	end := int64(len(t.records))
	if at != "" && at != strconv.FormatInt(end, 10) {
		return http.StatusPreconditionFailed, map[string]int64{"end": end}
	}
	if epoch != "" {
		e, _ := strconv.ParseInt(epoch, 10, 64)
		n, _ := strconv.ParseInt(seq, 10, 64)
		switch {
		case e < t.epoch:
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		case e > t.epoch:
			t.epoch, t.seq = e, n-1
		}
		switch {
		case len(body) == 0:
			t.seq = n
		case n == t.seq: // a repeated append
			return http.StatusOK, map[string]int64{"offset": end, "end": end}
		case n != t.seq+1:
			return http.StatusConflict, map[string]any{"reason": "seq", "seq": t.seq + 1}
		default:
			t.seq = n
		}
	}
	for len(body) >= 4 {
		size := int(binary.BigEndian.Uint32(body))
		record := body[4 : 4+size]
		key := 1 + int(record[0])
		t.records = append(t.records, [2]string{string(record[1:key]), string(record[key:])})
		body = body[4+size:]
	}
	close(s.appended)
	s.appended = make(chan struct{})
	return http.StatusOK, map[string]int64{"offset": end, "end": int64(len(t.records))}
}

// maxReadRecords bounds the records of an answer to a read.
const maxReadRecords = 2000

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.Atoi(q.Get("from"))
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		records := s.topic(q.Get("topic")).records
		appended := s.appended
		s.mu.Unlock()
		if len(records) <= from && wait > 0 {
			select {
			case <-appended:
			case <-timeout:
				wait = 0
			case <-r.Context().Done():
				return
			}
			continue
		}
		out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
		out = binary.BigEndian.AppendUint64(out, 0)
		first := min(from, len(records))
		for i, rec := range records[first:] {
			if i == maxReadRecords || len(out) > 1<<20 {
				break
			}
			out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec[0])+len(rec[1])))
			out = append(out, byte(len(rec[0])))
			out = append(out, rec[0]...)
			out = append(out, rec[1]...)
		}
		_, _ = w.Write(out) // the client may have disconnected
		return
	}
}

// newest answers with a page of the newest record of each key behind after.
func (s *store) newest(w http.ResponseWriter, name, after string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	last := make(map[string]int)
	for i, rec := range t.records {
		last[rec[0]] = i
	}
	items, bytes, more := []map[string]any{}, 0, false
	for _, key := range slices.Sorted(maps.Keys(last)) {
		value := t.records[last[key]][1]
		if key <= after || value == "" {
			continue
		}
		if more = len(items) == 500 || len(items) > 0 && bytes+len(value) > 1<<20; more {
			break
		}
		bytes += len(value)
		items = append(items, map[string]any{"key": key, "offset": last[key], "value": base64.StdEncoding.EncodeToString([]byte(value))})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}
