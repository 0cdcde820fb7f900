package rig2

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/kumquatstack/kumquatstack/platform/standin"
)

// Bounds of the deployment, as in its settings.
const (
	Heartbeat   = 1500 * time.Millisecond // between two entries of a runner
	silentBeats = 3                       // after which the store drops the entry
	Contact     = 3 * time.Second         // ContactMs
	cancelBound = 3 * time.Second
	cores       = 4 // of a runner; a task takes one
)

// Host is the name by which clients address the routes.
const Host = "shop.example"

// A Route is a queue of the configuration.
type Route struct {
	Name, Prefix, Service string
	MaxAttempts           int
}

// A Deployment is a small deployment: daemons, runners and the platform's store.
type Deployment struct {
	Record  *Record
	Store   *standin.Store
	Ledger  *standin.Ledger
	Runners []*Runner
	Daemons []*Daemon
	Late    LateOrders

	mu         sync.Mutex // of Daemons, while they are started and ended
	isClosed   bool
	dir        string
	cancel     context.CancelFunc
	background sync.WaitGroup
	servers    []*http.Server
	storeDown  atomic.Bool
}

// New returns a deployment without daemons and runners, which writes its settings and logs
// to a temporary folder.
func New(record *Record) (d *Deployment, err error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	return &Deployment{Record: record, Store: standin.NewStore(), Ledger: standin.NewLedger(), dir: dir}, nil
}

// Configure writes the configuration that maps routes to queues.
func (d *Deployment) Configure(version int, routes []Route) {
	var rows []map[string]any
	services := make(map[string]map[string]any)
	for _, route := range routes {
		rows = append(rows, map[string]any{
			"Name": route.Name, "Host": Host, "Prefix": route.Prefix, "Service": route.Service, "Kind": "non_idempotent",
			"TimeoutMs": 3000, "TargetDurationMs": 1000, "Priority": 0, "MaxAttempts": route.MaxAttempts, "Stretch": 2.0,
		})
		services[route.Service] = map[string]any{"Name": route.Service, "MaxConns": 64, "AdmissionCheck": false}
	}
	var list []map[string]any
	for _, service := range services {
		list = append(list, service)
	}
	d.Store.Put(time.Now(), "op/config", map[string]any{"Version": version, "Routes": rows, "Services": list})
}

// Zones are the zones of the runners. Those that are added get one after the other.
var Zones = []string{"z-1", "z-2", "z-3"}

// AddRunner starts a runner of a service.
func (d *Deployment) AddRunner(id, service string, work standin.Work) (r *Runner, err error) {
	r = &Runner{Runner: standin.NewRunner(id, work, d.Ledger), Service: service, Zone: Zones[len(d.Runners)%len(Zones)], late: &d.Late}
	r.SetCores(cores)
	if err = r.listen(); err != nil {
		return nil, err
	}
	d.register(r)
	d.Runners = append(d.Runners, r)
	return r, nil
}

// Evacuate asks that nothing more be sent to the runners of a zone.
func (d *Deployment) Evacuate(zone string) {
	d.Store.Put(time.Now(), "op/evacuate/"+zone, map[string]any{})
}

// Resize changes the capacity of a runner, and its entry.
func (d *Deployment) Resize(r *Runner, cores int) {
	r.SetCores(cores)
	d.register(r)
}

func (d *Deployment) register(r *Runner) {
	d.Store.Put(time.Now(), "servers/"+r.ID, map[string]any{
		"Service": r.Service, "Address": r.address, "Zone": r.Zone, "Version": "v1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0,
		"born": r.StartMs(), "Capacity": r.Capacity(), "Labels": []string{"a", "r1-1"},
	})
}

// Start starts the heartbeats of the runners, and some daemons, and waits until these are
// ready. A gate, unless it is nil, stands between the daemons and the store.
func (d *Deployment) Start(program string, daemons int, bounds Bounds, gate func(http.Handler) http.Handler) (err error) {
	ctx, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	for _, r := range d.Runners {
		d.background.Go(func() { d.beat(ctx, r) })
	}
	var handler http.Handler = d.Store
	if gate != nil {
		handler = gate(handler)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	d.servers = append(d.servers, server)
	go func() { _ = server.Serve(listener) }() // ends with the server
	for i := range daemons {
		name := fmt.Sprintf("d-%d", i+1)
		host := fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, 1+os.Getpid()/250%250, i+2)
		daemon, err := newDaemon(program, d.dir, name, host, listener.Addr().String(), bounds)
		if err != nil {
			return err
		}
		if err = d.startDaemon(daemon); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

func (d *Deployment) startDaemon(daemon *Daemon) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isClosed {
		return errors.New("the case is being ended")
	}
	d.Daemons = append(d.Daemons, daemon)
	return daemon.start()
}

// endDaemons ends all daemons.
func (d *Deployment) endDaemons() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.isClosed = true
	for _, daemon := range d.Daemons {
		daemon.end()
	}
}

// awaitReady waits until all daemons are ready.
func (d *Deployment) awaitReady() error {
	for _, daemon := range d.Daemons {
		for deadline := time.Now().Add(20 * time.Second); !daemon.isReady(); time.Sleep(50 * time.Millisecond) {
			if time.Now().After(deadline) {
				return errors.New("daemon " + daemon.Name + " is not ready in time")
			}
		}
	}
	return nil
}

// SetStoreDown makes the store answer all calls with 503, or makes it work again. While it is
// down, runners can't write their entries either.
func (d *Deployment) SetStoreDown(down bool) {
	d.storeDown.Store(down)
	fault := standin.None
	if down {
		fault = standin.Busy
	}
	d.Store.SetFault(fault)
}

// beat renews the entry of a runner while it is up, and drops it when it has been silent for
// too long. Runners begin at different times.
func (d *Deployment) beat(ctx context.Context, r *Runner) {
	timer := time.NewTimer(rand.N(Heartbeat))
	defer timer.Stop()
	isDropped := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(Heartbeat)
		}
		up, downAt := r.isUp()
		switch {
		case d.storeDown.Load():
		case up:
			d.register(r)
			isDropped = false
		case time.Since(downAt) > silentBeats*Heartbeat && !isDropped:
			d.Store.Remove(time.Now(), "servers/"+r.ID)
			isDropped = true
		}
	}
}

// Close ends all processes and servers that the deployment has started. It keeps the
// settings and logs if the variable KEEP names a folder.
func (d *Deployment) Close() error {
	d.endDaemons()
	if d.cancel != nil {
		d.cancel()
	}
	d.background.Wait()
	for _, server := range d.servers {
		_ = server.Close() // the error is that of the listener, which is gone
	}
	for _, r := range d.Runners {
		r.Crash()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		return os.Rename(d.dir, filepath.Join(keep, filepath.Base(d.dir)))
	}
	return os.RemoveAll(d.dir)
}
