package soak

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// store is a stand-in for the platform's log, with keyed topics of one partition.
type store struct {
	mu       sync.Mutex
	topics   map[string]*topic
	rng      *rand.Rand
	appended chan struct{} // closed at each append
	// mode is the injected fault: "" (none), "refuse" (every request), "hang" (no
	// request is answered), "slow", or "lose" (answers to some appends are lost).
	mode string
	// leaderAddress is the sender of the last append with an epoch: who leads, or has led until now.
	leaderAddress string
}

type topic struct {
	records [][2]string // key, value
	epoch   int64       // highest epoch of an appender; appends of lower ones are fenced
	seq     int64       // sequence number of the last append of that epoch
}

func newStore(seed uint64) *store {
	return &store{topics: make(map[string]*topic), rng: rand.New(rand.NewPCG(seed, 2)), appended: make(chan struct{})}
}

func (s *store) setMode(mode string) {
	s.mu.Lock()
	s.mode = mode
	s.mu.Unlock()
}

func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{}
		s.topics[name] = t
	}
	return t
}

// put appends a record in the way in which the operator or a worker writes it.
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
	s.mu.Lock()
	mode := s.mode
	lose := mode == "lose" && s.rng.IntN(3) == 0
	s.mu.Unlock()
	switch mode {
	case "refuse":
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case "hang":
		<-r.Context().Done()
		return
	case "slow":
		time.Sleep(150 * time.Millisecond)
	}
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/log-append":
		s.append(w, r, lose)
	case "/-/log-read":
		s.read(w, r)
	case "/-/log-newest":
		s.newest(w, q.Get("topic"), q.Get("dependsOn"))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) append(w http.ResponseWriter, r *http.Request, lose bool) {
	q := r.URL.Query()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	status, answer := s.appendLocked(q.Get("topic"), q.Get("at"), q.Get("epoch"), q.Get("seq"), body)
	if status == http.StatusOK && q.Get("epoch") != "" {
		s.leaderAddress = r.RemoteAddr
	}
	s.mu.Unlock()
	if lose {
		<-r.Context().Done()
		return
	}
	reply(w, status, answer)
}

func reply(w http.ResponseWriter, status int, answer any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(answer) // the client may have disconnected
}

// appendLocked appends the records in body. Unless at is empty, it is the offset at
// which the first record must be stored. Unless epoch is empty, epoch and seq identify
// the append. The caller holds s.mu.
func (s *store) appendLocked(name, at, epoch, seq string, body []byte) (int, any) {
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
		if len(body) > 0 {
			if n == t.seq {
				return http.StatusOK, map[string]int64{"offset": end, "end": end} // a repeated append
			}
			if n != t.seq+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "seq": t.seq + 1}
			}
			t.seq = n
		} else {
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
		if len(records) > from || wait == 0 {
			out := binary.BigEndian.AppendUint64(nil, uint64(len(records)))
			out = binary.BigEndian.AppendUint64(out, 0)
			for _, rec := range records[min(from, len(records)):] {
				out = binary.BigEndian.AppendUint32(out, uint32(1+len(rec[0])+len(rec[1])))
				out = append(out, byte(len(rec[0])))
				out = append(out, rec[0]...)
				out = append(out, rec[1]...)
			}
			_, _ = w.Write(out) // the client may have disconnected
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

// The limits of a page of newest records.
const (
	maxPageItems = 500
	maxPageBytes = 1 << 20
)

// newest answers with a page of the newest records of the keys behind after, without those that are empty.
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
		if more = len(items) == maxPageItems || len(items) > 0 && bytes+len(value) > maxPageBytes; more {
			break
		}
		bytes += len(value)
		items = append(items, map[string]any{"key": key, "offset": last[key], "value": base64.StdEncoding.EncodeToString([]byte(value))})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "end": len(t.records)})
}
