package commander

import (
	"crypto/rand"
	"sync"
	"time"
)

// A renewedSet is the set of runs that a worker was last asked to renew, under
// a name that is used once. It is safe for concurrent use.
type renewedSet struct {
	mu   sync.Mutex
	name string
	ids  map[RunID]bool
}

// request returns the shortest request that renews a set.
func (r *renewedSet) request(fence Fence, ids []RunID, lease time.Duration) RenewRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := rand.Text()
	if r.name == "" {
		return wholeRequest(fence, ids, lease, name)
	}
	request := RenewRequest{Fence: fence, Lease: lease, Base: r.name, Set: name}
	wanted := setOf(ids)
	for _, id := range ids {
		if !r.ids[id] {
			request.IDs = append(request.IDs, id)
		}
	}
	for id := range r.ids {
		if !wanted[id] {
			request.Dropped = append(request.Dropped, id)
		}
	}
	if len(request.IDs)+len(request.Dropped) > len(ids) {
		return wholeRequest(fence, ids, lease, name)
	}
	return request
}

// wholeRequest returns the request that names every run.
func wholeRequest(fence Fence, ids []RunID, lease time.Duration, name string) RenewRequest {
	return RenewRequest{Fence: fence, Lease: lease, IDs: ids, Set: name}
}

// remember notes that the worker knows a set.
func (r *renewedSet) remember(name string, ids []RunID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.name = name
	r.ids = setOf(ids)
}

// forget makes the next request name every run.
func (r *renewedSet) forget() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.name = ""
	r.ids = nil
}

func setOf(ids []RunID) map[RunID]bool {
	set := make(map[RunID]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}
