package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of items in one page of a listing.
const pageItems = 500

// An item is a key and its value in the store, or the deletion of a key.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision int64
	Created  int64
	Lease    int64
	Deleted  bool `json:",omitempty"`
}

// A store is a stand-in for the platform's store, by the users' pages.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	changed  chan struct{} // closed at the next change
	leases   map[int64]*lease
	granted  int64
}

// A lease removes its keys when it ends.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
}

func newStore() *store {
	return &store{revision: 1, items: make(map[string]item), changed: make(chan struct{}), leases: make(map[int64]*lease)}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	path := strings.TrimPrefix(req.URL.Path, "/kumquatstack/")
	name, id, _ := strings.Cut(path, "/")
	number, _ := strconv.ParseInt(id, 10, 64) // no lease has the number 0
	switch req.Method + " " + name {
	case "GET kv-key":
		s.key(w, req)
	case "GET kv-range":
		s.list(w, req)
	case "GET kv-watch":
		s.watch(w, req)
	case "POST kv-txn":
		s.commit(w, req)
	case "POST kv-lease":
		s.grant(w, req)
	case "POST kv-keep":
		s.keep(w, number)
	case "DELETE kv-lease-end":
		if !s.endLease(number) {
			w.WriteHeader(http.StatusNotFound)
		}
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// put writes a key, as the operator or a worker does.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err) // the stand-ins only write values that can be encoded
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: data})
	s.signal()
}

// remove deletes a key.
func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.delete(key)
	s.signal()
}

// write sets a key at the present revision. The caller holds the lock.
func (s *store) write(to item) {
	to.Revision, to.Created = s.revision, s.revision
	if before, ok := s.items[to.Key]; ok {
		to.Created = before.Created
	}
	s.items[to.Key] = to
	s.events = append(s.events, to)
}

// delete removes a key at the present revision. The caller holds the lock.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
	}
}

// signal wakes the watches. The caller holds the lock.
func (s *store) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) key(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	found, ok := s.items[req.URL.Query().Get("Key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, found)
}

func (s *store) list(w http.ResponseWriter, req *http.Request) {
	prefix, after := req.URL.Query().Get("Prefix"), req.URL.Query().Get("After")
	s.mu.Lock()
	list := []item{}
	for key, found := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, found)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(list, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	page := list[:min(len(list), pageItems)]
	reply(w, http.StatusOK, map[string]any{"items": page, "HasMore": len(page) < len(list), "AsOf": revision})
}

func (s *store) watch(w http.ResponseWriter, req *http.Request) {
	query := req.URL.Query()
	after, _ := strconv.ParseInt(query.Get("After"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("WaitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, query.Get("Prefix")) {
				events = append(events, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "AsOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-req.Context().Done():
			return
		}
	}
}

func (s *store) commit(w http.ResponseWriter, req *http.Request) {
	var body struct {
		Precondition, Writes []item
		Deletes              []string
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, condition := range body.Precondition {
		found, ok := s.items[condition.Key]
		if ok {
			current = append(current, found)
		}
		holds = holds && found.Revision == condition.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, to := range body.Writes {
		if to.Lease != 0 && s.leases[to.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, to := range body.Writes {
		s.write(to)
	}
	for _, key := range body.Deletes {
		s.delete(key)
	}
	s.signal()
	reply(w, http.StatusOK, map[string]any{"Revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, req *http.Request) {
	var body struct {
		TTL int64 `json:"TtlMs"`
	}
	if err := json.NewDecoder(req.Body).Decode(&body); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
	s.mu.Lock()
	s.granted++
	id := s.granted
	s.leases[id] = &lease{ttl: ttl, timer: time.AfterFunc(ttl, func() { s.endLease(id) })}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"Lease": id, "TtlMs": ttl.Milliseconds()})
}

// keep renews a lease from now on.
func (s *store) keep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.timer.Reset(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{"TtlMs": l.ttl.Milliseconds()})
}

// endLease ends a lease and removes its keys. It reports whether there was one.
func (s *store) endLease(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, found := range s.items {
		if found.Lease == id {
			s.delete(key)
		}
	}
	s.signal()
	return true
}

// reply writes an answer.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write fails only if the caller has closed the channel.
	_ = json.NewEncoder(w).Encode(body)
}
