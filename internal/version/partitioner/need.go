package partitioner

import (
	"slices"

	"github.com/kumquatstack/kumquatstack/internal/version/submitter"
)

// A Need is what the tasks of a step need of runners.
type Need struct {
	Service string `json:"service"`
	// Label is a label that the runner must have; empty means none.
	Label string `json:"label,omitempty"`
	submitter.Resources
	// Tasks is the number of tasks.
	Tasks int `json:"tasks"`
}

// NeedsOf returns what the steps of a submission need of the runners of a service.
func NeedsOf(sub *submitter.Submission, service string) (needs []Need) {
	for i := range sub.Steps {
		step := &sub.Steps[i]
		needs = AddNeed(needs, Need{Service: service, Label: step.RequiredLabel, Resources: step.Reserved(), Tasks: step.Count})
	}
	return needs
}

// AddNeed adds a need to a list. Those of the same label are combined to the larger amounts, as
// the list says what the largest tasks need.
func AddNeed(needs []Need, need Need) []Need {
	i := slices.IndexFunc(needs, func(n Need) bool { return n.Service == need.Service && n.Label == need.Label })
	if i < 0 {
		return append(needs, need)
	}
	needs[i].Resources = needs[i].Max(need.Resources)
	needs[i].Tasks = max(needs[i].Tasks, need.Tasks)
	return needs
}

// A Receipt is the answer of the owner of a partition to a submission.
type Receipt struct {
	Load
	// Unable holds the needs of the submission that no runner of the partition meets.
	Unable []Need `json:"unable,omitempty"`
}

// An Offer is the answer of the owner of a partition to the needs of a submission.
type Offer struct {
	// IsAble says that for each need there is a runner that may run such a task once it has
	// room.
	IsAble bool `json:"able"`
	// HasRoom says that there is room for all tasks of the largest step now.
	HasRoom bool `json:"room"`
}
