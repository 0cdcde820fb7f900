// Package declarer holds the operators' declarations: one versioned YAML
// document that is kept under version control and applied as a whole.
package declarer

import (
	"math"
	"time"
)

// Declarations is the whole operators' document. It is immutable once parsed.
type Declarations struct {
	// Regions hold all data centres.
	Regions []Region `yaml:"regions" validate:"required,min=1,unique=Name,dive"`
	// Upstreams are the back ends.
	Upstreams []Upstream `yaml:"upstreams" validate:"unique=Name,dive"`
	// Routes lead requests to upstreams; the longest matching path counts.
	Routes []Route `yaml:"routes" validate:"unique=Path,dive"`
	// Teams own the intents.
	Teams []Team `yaml:"teams" validate:"unique=Name,dive"`
	// Classes are those that intents name.
	Classes []Class `yaml:"classes" validate:"unique=Name,dive"`
	// Batch tunes the placement of tasks.
	Batch Batch `yaml:"batch"`
	// Link bounds the traffic between regions.
	Link Link `yaml:"link"`
}

// A Region is a set of data centres with a fast network between them.
type Region struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// DataCentres of the region.
	DataCentres []DataCentre `yaml:"dataCentres" validate:"required,min=1,unique=Name,dive"`
}

// A DataCentre is a zone that operators take out of service as a whole.
type DataCentre struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Out is true while operators have taken the data centre out of service.
	Out bool `yaml:"out"`
}

// An Upstream is a back end with many runners.
type Upstream struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// SlotsPerRunner is the number of requests a runner holds at a time.
	SlotsPerRunner int `yaml:"slotsPerRunner" default:"8" validate:"min=1,max=1024"`
	// ConnectionsPerRunner is the number of connections a runner accepts.
	ConnectionsPerRunner int `yaml:"connectionsPerRunner" default:"64" validate:"min=1,max=4096"`
	// MaxDuration bounds the time a request may hold a slot.
	MaxDuration time.Duration `yaml:"maxDuration" default:"30s" validate:"min=10ms,max=10m"`
	// QueueLength bounds the requests that wait at one daemon.
	QueueLength int `yaml:"queueLength" default:"1000" validate:"min=0,max=100000"`
	// RetryPercent bounds retries and hedges as a percentage of requests.
	RetryPercent int `yaml:"retryPercent" default:"10" validate:"min=0,max=100"`
	// MaxBodyBytes bounds a request's body.
	MaxBodyBytes int64 `yaml:"maxBodyBytes" default:"1048576" validate:"min=0"`
}

// A Route maps a path prefix to an upstream.
type Route struct {
	// Path is the beginning of the request's path.
	Path string `yaml:"path" validate:"required,startswith=/"`
	// Upstream is the name of a declared one.
	Upstream string `yaml:"upstream" validate:"required"`
	// Idempotent declares that a request may be sent more than once.
	Idempotent bool `yaml:"idempotent"`
	// KeyRequired refuses requests without an idempotency key.
	KeyRequired bool `yaml:"keyRequired"`
	// DefaultDeadline applies to requests that state none; zero refuses them.
	DefaultDeadline time.Duration `yaml:"defaultDeadline" validate:"min=0,max=10m"`
	// MissCost weighs a missed deadline; larger is served first.
	MissCost int `yaml:"missCost" default:"1" validate:"min=0,max=1000"`
}

// A Team shares the workers with other teams under a quota.
type Team struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// Quota bounds what the team's tasks use at a time.
	Quota Resources `yaml:"quota"`
	// Weight is the team's share when demand exceeds capacity.
	Weight int `yaml:"weight" default:"1" validate:"min=1,max=1000"`
}

// Resources are amounts of processor, memory and accelerators.
type Resources struct {
	// Cores are processors; fractions are accepted.
	Cores float64 `yaml:"cores" validate:"min=0,max=1000000"`
	// MemoryGB is in units of 10⁹ bytes.
	MemoryGB float64 `yaml:"memoryGB" validate:"min=0,max=10000000"`
	// Accelerators are whole devices.
	Accelerators int `yaml:"accelerators" validate:"min=0,max=1000000"`
}

// Units of resources.
const (
	milliCoresPerCore = 1000
	bytesPerGB        = 1e9
)

// MilliCores returns the processors in thousandths of a core, rounded up.
func (r Resources) MilliCores() int64 { return int64(math.Ceil(r.Cores * milliCoresPerCore)) }

// MemoryBytes returns the memory in bytes, rounded up.
func (r Resources) MemoryBytes() int64 { return int64(math.Ceil(r.MemoryGB * bytesPerGB)) }

// A Class groups tasks that disturb each other alike.
type Class struct {
	Name string `yaml:"name" validate:"required,hostname_rfc1123"`
	// LatencyCritical marks services; others are batch.
	LatencyCritical bool `yaml:"latencyCritical"`
	// Target is the p99 response time of a service that placement protects.
	Target time.Duration `yaml:"target" validate:"min=0,max=10m"`
}

// Batch tunes the placement of tasks.
type Batch struct {
	// Lease is the time a worker runs a task without renewal.
	Lease time.Duration `yaml:"lease" default:"10s" validate:"min=1s,max=1h"`
	// EvictionsPerMinute bounds evictions for interference per data centre.
	EvictionsPerMinute int `yaml:"evictionsPerMinute" default:"60" validate:"min=0,max=10000"`
}

// Link bounds the traffic between regions.
type Link struct {
	// MegabitsPerSecond is the daemons' joint budget each way.
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

// IsOut tells whether operators have taken a data centre out of service.
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

// WithDataCentre returns a copy in which a data centre is out or in service.
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

// A Version is one accepted document with the store revision that orders it.
type Version struct {
	Number       int64
	Document     []byte
	Declarations *Declarations
}
