package sharder

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/estimator"
	"github.com/kumquatstack/kumquatstack/internal/version/isolator"
	"github.com/kumquatstack/kumquatstack/internal/version/placer"
)

// estimateInterval is the time between two records of what was learnt.
const estimateInterval = time.Minute

// InterferenceModel keeps what is known of how batch tasks slow services. Its methods
// are called with the shard's lock held.
type InterferenceModel interface {
	Estimates() []isolator.Estimate
	Restore([]isolator.Estimate)
}

// keepEstimates journals what was learnt, so that a later owner need not learn
// it anew.
func (s *Sharder) keepEstimates(now time.Time) {
	if now.Sub(s.estimatedAt) < estimateInterval {
		return
	}
	s.estimatedAt = now
	estimates := s.estimates()
	if proto.Equal(estimates, s.estimated) {
		return
	}
	s.estimated = estimates
	s.flusher.extras = append(s.flusher.extras, estimatesRecord(estimates))
}

// estimates returns what was learnt so far.
func (s *Sharder) estimates() *kumquatv1.Estimates {
	estimates := &kumquatv1.Estimates{}
	for _, peak := range s.sizes.Peaks() {
		estimates.Sizes = append(estimates.Sizes, &kumquatv1.SizeEstimate{
			Intent: peak.Intent, Size: protoOf(peak.Size), MeasuredUnixMillis: peak.At.UnixMilli(),
		})
	}
	if s.options.Interference == nil {
		return estimates
	}
	for _, of := range s.options.Interference.Estimates() {
		estimates.Slowdowns = append(estimates.Slowdowns, &kumquatv1.SlowdownEstimate{
			Service: of.Service, Batch: of.Batch, PerCore: of.PerCore, MeasuredUnixMillis: of.At.UnixMilli(),
		})
	}
	return estimates
}

// replayEstimates takes over what an earlier owner learnt.
func (s *Sharder) replayEstimates(estimates *kumquatv1.Estimates) {
	s.estimated = estimates
	var peaks []estimator.Peak
	for _, size := range estimates.GetSizes() {
		peaks = append(peaks, estimator.Peak{Intent: size.GetIntent(), Size: sizeOf(size.GetSize()), At: time.UnixMilli(size.GetMeasuredUnixMillis())})
	}
	s.sizes.Restore(peaks)
	if s.options.Interference == nil {
		return
	}
	var known []isolator.Estimate
	for _, of := range estimates.GetSlowdowns() {
		known = append(known, isolator.Estimate{
			Service: of.GetService(), Batch: of.GetBatch(), PerCore: of.GetPerCore(), At: time.UnixMilli(of.GetMeasuredUnixMillis()),
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
