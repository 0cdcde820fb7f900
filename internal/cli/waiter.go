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

// pollInterval is the time between two status calls for an intent.
const pollInterval = time.Second

// endedStates are the names of the final states of a task.
var endedStates = []string{"finished", "cancelled", "refused"}

// waitForIntent waits until all tasks of an intent have ended, and reports
// progress. It returns the last answer, or nil if there was none. The error is an
// *incompleteError if tasks were refused or cancelled, or after the timeout.
func waitForIntent(ctx context.Context, a *app, c *client, intent string, timeout time.Duration) (last *kumquatv1.StatusResponse, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	shown := ""
	for {
		answer, err := call(ctx, c, readOnly, "status", kumquatv1.Operator.Status, &kumquatv1.StatusRequest{Intent: intent})
		if last == nil && isFinal(err) {
			return last, err
		}
		if err == nil && len(answer.GetIntents()) > 0 {
			last = answer
			counts := answer.GetIntents()[0].GetCounts()
			if progress := formatCounts(counts); progress != shown {
				a.notice("%s: %s", intent, progress)
				shown = progress
			}
			if len(answer.GetMissingShards()) == 0 && hasEnded(counts) {
				return last, outcomeOf(intent, counts)
			}
		}
		select {
		case <-ctx.Done():
			return last, &incompleteError{fmt.Sprintf("intent %s has not ended: %s", intent, shown)}
		case <-ticker.C:
		}
	}
}

// stateName returns a task's state as it is shown: "TASK_STATE_PENDING" as "pending".
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

// outcomeOf returns an *incompleteError unless all tasks of an ended intent have finished.
func outcomeOf(intent string, counts map[string]int32) error {
	for name, count := range counts {
		if count > 0 && stateName(name) != "finished" {
			return &incompleteError{fmt.Sprintf("intent %s has ended: %s", intent, formatCounts(counts))}
		}
	}
	return nil
}

// formatCounts returns the number of tasks in each state, sorted by the states' names,
// such as "finished 3, pending 2".
func formatCounts(counts map[string]int32) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		if counts[name] > 0 {
			parts = append(parts, fmt.Sprintf("%s %d", stateName(name), counts[name]))
		}
	}
	return strings.Join(parts, ", ")
}
