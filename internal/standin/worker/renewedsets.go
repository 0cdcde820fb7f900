package worker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// renewedSets stores the set of runs that was renewed last, so that a request can state only the
// changes to that set.
type renewedSets struct {
	mu sync.Mutex
	// name is the name that the client gave the set, and ids are the runs of the set.
	name string
	ids  []commander.RunID
}

// resolve returns all runs that a request renews, and stores them as the last set. It reports false
// if the request is based on another set than the one that was renewed last.
func (s *renewedSets) resolve(request commander.RenewRequest) ([]commander.RunID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := request.IDs
	if request.Base != "" {
		if request.Base != s.name {
			return nil, false
		}
		kept := slices.DeleteFunc(slices.Clone(s.ids), func(id commander.RunID) bool {
			return slices.Contains(request.Dropped, id) || slices.Contains(request.Forget, id)
		})
		ids = append(kept, request.IDs...)
	}
	s.name = cmp.Or(request.Set, request.Base)
	s.ids = ids
	return ids, true
}
