package worker

import (
	"fmt"
	"io"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
)

// command holds the flags of the stand-in program.
type command struct {
	Listen       string        `long:"listen" default:"127.0.0.1:0" description:"IP address and port of the control endpoints"`
	Count        int           `long:"count" default:"1" description:"number of workers"`
	Name         string        `long:"name" default:"worker" description:"prefix of the workers' names, followed by a number"`
	DataCentre   string        `long:"data-centre" default:"atl-a" description:"data centre of the workers"`
	MilliCores   int64         `long:"milli-cores" default:"32000" description:"CPU of each worker, in thousandths of a core"`
	MemoryBytes  int64         `long:"memory-bytes" default:"134217728000" description:"memory of each worker, in bytes"`
	Accelerators int64         `long:"accelerators" default:"0" description:"accelerators of each worker"`
	Lag          time.Duration `long:"lag" default:"2s" description:"age of the measurements"`
}

// Main runs the stand-in program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var flags command
	return controller.Main(args, stdout, stderr, &flags, &flags.Listen, flags.services)
}

// services returns the control endpoints and one agent per worker.
func (c *command) services() []controller.Service {
	fleet := NewFleet()
	services := []controller.Service{{Name: "control", Handler: NewControl(fleet)}}
	for number := range c.Count {
		name := fmt.Sprintf("%s-%d", c.Name, number)
		fake := fleet.Add(name, Options{
			Name: name, DataCentre: c.DataCentre, Lag: c.Lag,
			Capacity: commander.Resources{MilliCores: c.MilliCores, MemoryBytes: c.MemoryBytes, Accelerators: c.Accelerators},
		})
		services = append(services, controller.Service{Name: name, Handler: NewHandler(fake)})
	}
	return services
}
