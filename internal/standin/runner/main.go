package runner

import (
	"fmt"
	"io"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/standin/controller"
)

// command holds the flags of the stand-in program.
type command struct {
	Listen      string        `long:"listen" default:"127.0.0.1:0" description:"IP address and port of the control endpoints"`
	Count       int           `long:"count" default:"1" description:"number of runners"`
	Name        string        `long:"name" default:"runner" description:"prefix of the runners' names, followed by a number"`
	Slots       int           `long:"slots" default:"8" description:"requests that a runner may run at a time"`
	Connections int           `long:"connections" default:"64" description:"connections that a runner may have open at a time"`
	Mean        time.Duration `long:"mean" default:"1ms" description:"mean service time"`
	Sigma       float64       `long:"sigma" default:"0" description:"standard deviation of the service time's logarithm; 0 is a fixed time"`
	Seed        uint64        `long:"seed" default:"1" description:"random seed of the service times and faults"`
}

// Main runs the stand-in program and returns its exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	var flags command
	return controller.Main(args, stdout, stderr, &flags, &flags.Listen, flags.services)
}

// services returns the control endpoints and one service per runner.
func (c *command) services() []controller.Service {
	var set Set
	for number := range c.Count {
		set = append(set, New(Options{
			Name:        fmt.Sprintf("%s-%d", c.Name, number),
			Slots:       c.Slots,
			Connections: c.Connections,
			Mean:        c.Mean,
			Sigma:       c.Sigma,
			Seed:        c.Seed + uint64(number),
		}))
	}
	services := []controller.Service{{Name: "control", Handler: NewControl(set)}}
	for _, runner := range set {
		services = append(services, controller.Service{Name: runner.options.Name, Handler: runner, Prepare: runner.Prepare})
	}
	return services
}
