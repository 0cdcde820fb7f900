package sharder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/estimator"
	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// estimateInterval is the time between two checks for estimates that are not
// journaled yet.
const estimateInterval = time.Minute

// InterferenceModel holds the estimates of how much batch tasks slow services
// down. Its methods are called with the shard's lock held.
type InterferenceModel interface {
	// Estimates returns the current estimates.
	Estimates() []isolator.Estimate
	// Restore adds the estimates that an earlier owner has journaled.
	Restore([]isolator.Estimate)
}

// journalEstimates journals the estimates if they have changed, so that a later
// owner need not learn them again.
func (s *Sharder) journalEstimates(now time.Time) {
	if now.Sub(s.estimatesCheckedAt) < estimateInterval {
		return
	}
	s.estimatesCheckedAt = now
	estimates := s.estimates()
	if proto.Equal(estimates, s.journaledEstimates) {
		return
	}
	s.journaledEstimates = estimates
	s.flusher.extras = append(s.flusher.extras, estimatesRecord(estimates))
}

// estimates returns the current estimates of task sizes and of slowdowns.
func (s *Sharder) estimates() *kumquatv1.Estimates {
	estimates := &kumquatv1.Estimates{}
	for _, peak := range s.sizes.Peaks() {
		estimates.Sizes = append(estimates.Sizes, &kumquatv1.SizeEstimate{
			Intent: peak.Intent, Size: resourcesProto(peak.Size), MeasuredUnixMillis: peak.At.UnixMilli(),
		})
	}
	if s.options.Interference == nil {
		return estimates
	}
	for _, estimate := range s.options.Interference.Estimates() {
		estimates.Slowdowns = append(estimates.Slowdowns, &kumquatv1.SlowdownEstimate{
			Service: estimate.Service, Batch: estimate.Batch, PerCore: estimate.PerCore, MeasuredUnixMillis: estimate.At.UnixMilli(),
		})
	}
	return estimates
}

// replayEstimates restores the estimates of an earlier owner.
func (s *Sharder) replayEstimates(estimates *kumquatv1.Estimates) {
	s.journaledEstimates = estimates
	var peaks []estimator.Peak
	for _, size := range estimates.GetSizes() {
		peaks = append(peaks, estimator.Peak{Intent: size.GetIntent(), Size: sizeOf(size.GetSize()), At: time.UnixMilli(size.GetMeasuredUnixMillis())})
	}
	s.sizes.Restore(peaks)
	if s.options.Interference == nil {
		return
	}
	var known []isolator.Estimate
	for _, estimate := range estimates.GetSlowdowns() {
		known = append(known, isolator.Estimate{
			Service: estimate.GetService(), Batch: estimate.GetBatch(), PerCore: estimate.GetPerCore(), At: time.UnixMilli(estimate.GetMeasuredUnixMillis()),
		})
	}
	s.options.Interference.Restore(known)
}

func estimatesRecord(estimates *kumquatv1.Estimates) *kumquatv1.Record {
	return &kumquatv1.Record{Change: &kumquatv1.Record_Estimates{Estimates: estimates}}
}

func sizeOf(r *kumquatv1.Resources) placer.Resources {
	return placer.Resources{MilliCores: r.GetMilliCores(), MemoryBytes: r.GetMemoryBytes(), Accelerators: r.GetAccelerators()}
}
