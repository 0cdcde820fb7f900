package cli

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// pollInterval is the time between two looks at an intent.
const pollInterval = time.Second

// endedStates are the names of states in which a task does nothing more.
var endedStates = []string{"finished", "cancelled", "refused"}

// waitForIntent waits until all tasks of an intent have ended and reports
// progress. It returns an *incompleteError if some were refused or cancelled,
// or the time has passed.
func waitForIntent(ctx context.Context, a *app, c *client, intent string, longest time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, longest)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	last := ""
	for {
		answer, err := call(ctx, c, reads, "status", kumquatv1.Operator.Status, &kumquatv1.StatusRequest{Intent: intent})
		if err == nil && len(answer.GetIntents()) > 0 {
			counts := answer.GetIntents()[0].GetCounts()
			if progress := formatCounts(counts); progress != last {
				a.notice("%s: %s", intent, progress)
				last = progress
			}
			if len(answer.GetMissingShards()) == 0 && hasEnded(counts) {
				return outcomeOf(intent, counts)
			}
		}
		select {
		case <-ctx.Done():
			return &incompleteError{fmt.Sprintf("intent %s has not ended: %s", intent, last)}
		case <-ticker.C:
		}
	}
}

// stateName returns a state as it is shown: without the enum's prefix.
func stateName(name string) string {
	return strings.ToLower(strings.TrimPrefix(name, "TASK_STATE_"))
}

func hasEnded(counts map[string]int32) bool {
	total := int32(0)
	for name, count := range counts {
		total += count
		if count > 0 && !slices.Contains(endedStates, stateName(name)) {
			return false
		}
	}
	return total > 0
}

func outcomeOf(intent string, counts map[string]int32) error {
	for name, count := range counts {
		if count > 0 && stateName(name) != "finished" {
			return &incompleteError{fmt.Sprintf("intent %s has ended: %s", intent, formatCounts(counts))}
		}
	}
	return nil
}

// formatCounts returns the numbers of tasks by state, in order of names.
func formatCounts(counts map[string]int32) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", stateName(name), counts[name]))
		}
	}
	return strings.Join(parts, ", ")
}
