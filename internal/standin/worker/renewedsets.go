package worker

import (
	"cmp"
	"slices"
	"sync"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
)

// renewedSets remembers the set of runs that was renewed last.
type renewedSets struct {
	mu   sync.Mutex
	name string
	ids  []commander.RunID
}

// resolve returns the whole set that a request names, or false if its base is
// not the set that was renewed last.
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
