package commander

import "time"

// Paths of the agent's HTTP protocol. All but PathUsage take a POST with a
// JSON body. Answers are JSON, or 204 without a body where nothing is to be
// said; no header is needed in either direction beyond those of HTTP itself.
const (
	PathStart      = "/v1/start"
	PathRenew      = "/v1/renew"
	PathCheckpoint = "/v1/checkpoint"
	PathThrottle   = "/v1/throttle"
	PathStop       = "/v1/stop"
	PathReport     = "/v1/report"
	PathUsage      = "/v1/usage"
)

// A RenewRequest is the body of PathRenew. It names the whole set of runs to
// renew, or how the set differs from the one that was renewed before.
type RenewRequest struct {
	Fence Fence         `json:"fence"`
	Lease time.Duration `json:"lease"` // nanoseconds
	// Base is the name of the set renewed before; empty if IDs is the whole set.
	Base string `json:"base,omitempty"`
	// IDs are the runs of the set, or those added to the base.
	IDs []RunID `json:"ids,omitempty"`
	// Dropped are the runs of the base that the set lacks.
	Dropped []RunID `json:"dropped,omitempty"`
	// Forget are ended runs to drop from the report and from the base.
	Forget []RunID `json:"forget,omitempty"`
	// Set names the resulting set for the next call; empty keeps the base and
	// its name.
	Set string `json:"set,omitempty"`
}

// A RenewResponse lists the runs that the worker doesn't run.
type RenewResponse struct {
	Ended   []Run   `json:"ended,omitempty"`
	Unknown []RunID `json:"unknown,omitempty"`
	// UnknownBase says that nothing was renewed, since the worker doesn't know
	// the base; the whole set has to be sent.
	UnknownBase bool `json:"unknownBase,omitempty"`
}

// A RunRequest is the body of PathCheckpoint, PathThrottle and PathStop.
type RunRequest struct {
	Fence   Fence `json:"fence"`
	ID      RunID `json:"id"`
	Percent int   `json:"percent,omitempty"`
}

// A CheckpointResponse names the saved checkpoint.
type CheckpointResponse struct {
	Checkpoint string `json:"checkpoint"`
}

// A ReportRequest is the body of PathReport.
type ReportRequest struct {
	Fence Fence `json:"fence"`
}

// A UsageResponse lists lagging measurements.
type UsageResponse struct {
	Usages []Usage `json:"usages"`
}

// A Problem is the body of an answer that isn't 200.
type Problem struct {
	Error string `json:"error"`
}
