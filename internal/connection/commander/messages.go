package commander

import "time"

// Paths of the agent's HTTP protocol. PathUsage takes a GET request, all others a
// POST request with a JSON body. Responses have a JSON body, or status 204 and no
// body if there is nothing to report. Neither side needs header fields beyond
// those of HTTP itself.
const (
	PathStart      = "/v1/start"
	PathRenew      = "/v1/renew"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathStop       = "/v1/stop"
	PathReport     = "/v1/report"
	PathUsage      = "/v1/usage"
)

// A RenewRequest is the body of PathRenew. It contains the whole set of runs to
// renew, or the difference from the set that was renewed before.
type RenewRequest struct {
	Fence Fence         `json:"fence"`
	Lease time.Duration `json:"lease"` // nanoseconds
	// Base is the name of the set renewed before; empty if IDs is the whole set.
	Base string `json:"base,omitempty"`
	// IDs are the runs of the set, or those to add to the base.
	IDs []RunID `json:"ids,omitempty"`
	// Dropped are the runs to remove from the base.
	Dropped []RunID `json:"dropped,omitempty"`
	// Forget are ended runs to remove from the worker's reports and from the base.
	Forget []RunID `json:"forget,omitempty"`
	// Set is the name of the resulting set for the next call; if it is empty, the
	// base is unchanged and keeps its name.
	Set string `json:"set,omitempty"`
}

// A RenewResponse lists the runs that the worker doesn't run.
type RenewResponse struct {
	Ended   []Run   `json:"ended,omitempty"`
	Unknown []RunID `json:"unknown,omitempty"`
	// UnknownBase is true if nothing was renewed because the worker doesn't know
	// the base; the caller must send the whole set.
	UnknownBase bool `json:"unknownBase,omitempty"`
}

// A RunRequest is the body of PathCheckpoint, PathThrottle and PathStop.
type RunRequest struct {
	Fence   Fence `json:"fence"`
	ID      RunID `json:"id"`
	Percent int   `json:"percent,omitempty"` // of the CPU to withhold; only for PathThrottle
}

// A CheckpointResponse names the saved checkpoint.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// A ReportRequest is the body of PathReport.
type ReportRequest struct {
	Fence Fence `json:"fence"`
}

// A UsageResponse lists measurements of runs, which lag behind the present.
type UsageResponse struct {
	Usages []Usage `json:"usages"`
}

// A Problem is the body of a response with a status other than 200.
type Problem struct {
	Error string `json:"error"`
}
