// Package declarer defines, parses, compares and edits the operators'
// declarations, a versioned YAML document that is kept under version control and
// applied as a whole. It also defines and parses intents.
package declarer

import (
	"math"
	"time"
)

// Declarations is the content of the operators' document. It is immutable once
// parsed.
type Declarations struct {
	// Regions are the regions with their data centres.
	Regions []Region `yaml:"regions" validate:"required,min=1,unique=Name,dive"`
	// Upstreams are the back ends that serve requests.
	Upstreams []Upstream `yaml:"upstreams" validate:"unique=Name,dive"`
	// Routes map requests to upstreams; the longest matching path applies.
	Routes []Route `yaml:"routes" validate:"unique=Path,dive"`
	// Teams are the owners of intents.
	Teams []Team `yaml:"teams" validate:"unique=Name,dive"`
	// Classes are the classes of tasks that intents refer to.
	Classes []Class `yaml:"classes" validate:"unique=Name,dive"`
	// Batch sets the lease of tasks and the limit of evictions.
	Batch Batch `yaml:"batch"`
	// Link limits the traffic between regions.
	Link Link `yaml:"link"`
}

// A Region is a set of data centres with a fast network between them.
type Region struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// DataCentres are the data centres of the region.
	DataCentres []DataCentre `yaml:"dataCentres" validate:"required,min=1,unique=Name,dive"`
}

// A DataCentre is a zone that operators can take out of service as a whole.
type DataCentre struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Out is true while operators have taken the data centre out of service.
	Out bool `yaml:"out"`
}

// An Upstream is a back end that is served by a number of runners.
type Upstream struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// SlotsPerRunner is the number of requests that a runner handles at a time.
	SlotsPerRunner int `yaml:"slotsPerRunner" default:"8" validate:"min=1,max=1024"`
	// ConnectionsPerRunner is the number of connections that a runner accepts.
	ConnectionsPerRunner int `yaml:"connectionsPerRunner" default:"64" validate:"min=1,max=4096"`
	// MaxDuration limits the time for which a request may occupy a slot.
	MaxDuration time.Duration `yaml:"maxDuration" default:"30s" validate:"min=10ms,max=10m"`
	// QueueLength limits the number of requests that wait at one daemon.
	QueueLength int `yaml:"queueLength" default:"1000" validate:"min=0,max=100000"`
	// RetryPercent limits retries and hedged requests, as a percentage of requests.
	RetryPercent int `yaml:"retryPercent" default:"10" validate:"min=0,max=100"`
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" default:"1048576" validate:"min=0"`
}

// A Route maps a path prefix to an upstream.
type Route struct {
	// Path is the prefix that a request's path begins with.
	Path string `yaml:"path" validate:"required,startswith=/"`
	// Upstream is the name of a declared upstream.
	Upstream string `yaml:"upstream" validate:"required"`
	// Idempotent states that a request may safely be sent more than once.
	Idempotent bool `yaml:"idempotent"`
	// KeyRequired states that requests without an idempotency key are refused.
	KeyRequired bool `yaml:"keyRequired"`
	// DefaultDeadline applies to requests without a deadline; if it is zero, they
	// are refused.
	DefaultDeadline time.Duration `yaml:"defaultDeadline" validate:"min=0,max=10m"`
	// MissCost is the cost of a missed deadline; requests of higher cost are served
	// first.
	MissCost int `yaml:"missCost" default:"1" validate:"min=0,max=1000"`
}

// A Team shares the workers with other teams under a quota.
type Team struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Quota limits the resources that the team's tasks use at a time.
	Quota Resources `yaml:"quota"`
	// Weight is the team's relative share when demand exceeds capacity.
	Weight int `yaml:"weight" default:"1" validate:"min=1,max=1000"`
}

// Resources are amounts of processor, memory and accelerators.
type Resources struct {
	// Cores is the number of processor cores; fractions are accepted.
	Cores float64 `yaml:"cores" validate:"min=0,max=1000000"`
	// MemoryGB is the memory in units of 10⁹ bytes.
	MemoryGB float64 `yaml:"memoryGB" validate:"min=0,max=10000000"`
	// Accelerators is the number of whole accelerator devices.
	Accelerators int `yaml:"accelerators" validate:"min=0,max=1000000"`
}

// Units of resources.
const (
	milliCoresPerCore = 1000
	bytesPerGB        = 1e9
)

// MilliCores returns the cores in thousandths, rounded up.
func (r Resources) MilliCores() int64 { return int64(math.Ceil(r.Cores * milliCoresPerCore)) }

// MemoryBytes returns the memory in bytes, rounded up.
func (r Resources) MemoryBytes() int64 { return int64(math.Ceil(r.MemoryGB * bytesPerGB)) }

// A Class groups tasks with the same pattern of interference.
type Class struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// LatencyCritical marks the tasks as services; all others are batch work.
	LatencyCritical bool `yaml:"latencyCritical"`
	// Target is the p99 response time that placement protects, for a service.
	Target time.Duration `yaml:"target" validate:"min=0,max=10m"`
}

// Batch sets the lease of tasks and the limit of evictions.
type Batch struct {
	// Lease is the time for which a worker runs a task without a renewal.
	Lease time.Duration `yaml:"lease" default:"10s" validate:"min=1s,max=1h"`
	// EvictionsPerMinute limits the evictions because of interference, for each data
	// centre.
	EvictionsPerMinute int `yaml:"evictionsPerMinute" default:"60" validate:"min=0,max=10000"`
}

// Link limits the traffic between regions.
type Link struct {
	// MegabitsPerSecond is the budget that all daemons share, in each direction.
	MegabitsPerSecond float64 `yaml:"megabitsPerSecond" validate:"min=0,max=100000"`
}

// RegionOf returns the region of a data centre, or "" if it is not declared.
func (d *Declarations) RegionOf(dataCentre string) string {
	for _, region := range d.Regions {
		for _, dc := range region.DataCentres {
			if dc.Name == dataCentre {
				return region.Name
			}
		}
	}
	return ""
}

// IsOut reports whether operators have taken a data centre out of service.
// Undeclared data centres count as out.
func (d *Declarations) IsOut(dataCentre string) bool {
	for _, region := range d.Regions {
		for _, dc := range region.DataCentres {
			if dc.Name == dataCentre {
				return dc.Out
			}
		}
	}
	return true
}

// WithDataCentre returns a copy in which a data centre is out of service or in
// service.
func (d *Declarations) WithDataCentre(name string, out bool) *Declarations {
	next := *d
	next.Regions = make([]Region, len(d.Regions))
	for i, region := range d.Regions {
		region.DataCentres = append([]DataCentre(nil), region.DataCentres...)
		for j := range region.DataCentres {
			if region.DataCentres[j].Name == name {
				region.DataCentres[j].Out = out
			}
		}
		next.Regions[i] = region
	}
	return &next
}

// A Version is an accepted document. Its number is the store revision, so that
// later versions have higher numbers.
type Version struct {
	Number       int64
	Document     []byte
	Declarations *Declarations
}
