// Command 7 evacuates the zone of one of the three runners of a small service beside a large
// one, and looks whether submissions to the small service still run on its other runners.
package main

import (
	"fmt"
	"time"

	"github.com/kumquatstack/kumquatstack/review/rig2"
)

const (
	castPrefix, castService       = "/cast/", "casting"
	engravePrefix, engraveService = "/engrave/", "engraving"
	castRunners                   = 72
	// evacuated is the runner of the small service whose zone is evacuated.
	evacuated = "e-0"
	// submissions are handed in before that, and as many after it, one each interval.
	submissions = 20
	interval    = 300 * time.Millisecond
	// settle is the time from the evacuation to the next submission (EvacuateMs and more).
	settle = 8 * time.Second
	// finish is the time from the end of the traffic to the check (finish_s), and idle how
	// long nothing of a submission may run then.
	finish = 14 * time.Second
	idle   = 3 * time.Second
)

// engraveRunners are the runners of the small service, one in each zone.
var engraveRunners = []string{evacuated, "e-1", "e-2"}

func main() { rig2.Run(play) }

func play(d *rig2.Deployment, program string, trouble bool) (violations int, err error) {
	d.Configure(1, []rig2.Route{
		{Name: "cast", Prefix: castPrefix, Service: castService, MaxAttempts: 3},
		{Name: "engrave", Prefix: engravePrefix, Service: engraveService, MaxAttempts: 3},
	})
	work := func(string, int64) (time.Duration, bool) { return 500 * time.Millisecond, false }
	for i := range castRunners {
		if _, err = d.AddRunner(fmt.Sprintf("c-%d", i), castService, work); err != nil {
			return 0, err
		}
	}
	for _, id := range engraveRunners {
		if _, err = d.AddRunner(id, engraveService, work); err != nil {
			return 0, err
		}
	}
	zone := d.Runners[castRunners].Zone
	if err = d.Start(program, 4, rig2.Bounds{CPUShare: 0.16}, nil); err != nil {
		return 0, err
	}
	accepted := submit(d, 0)
	if trouble {
		d.Evacuate(zone)
		d.Record.Printf("zone %s is evacuated, with runner %s and a third of the runners of %s", zone, evacuated, castService)
	}
	time.Sleep(settle)
	accepted = append(accepted, submit(d, submissions)...)
	d.Record.Printf("the traffic ends; %d submissions to %s were accepted", len(accepted), engraveService)
	time.Sleep(finish)
	began := time.Now()
	time.Sleep(idle)
	for _, id := range accepted {
		state := d.State(d.Daemons[0], engravePrefix+id)
		runs := d.Ledger.Runs(id + ".0.0.0")
		if state == "complete" || (len(runs) > 0 && runs[len(runs)-1].Ended.After(began)) {
			continue
		}
		violations++
		d.Record.Printf("submission %s was accepted, is %s and has had %d runs", id, state, len(runs))
	}
	for _, id := range engraveRunners {
		d.Record.Printf("runner %s has %d runs now, for a capacity of 4", id, d.Ledger.RunsNow(id))
	}
	return violations, nil
}

// submit hands submissions in at all daemons in turn, and returns the IDs of those to the
// small service that were accepted.
func submit(d *rig2.Deployment, first int) (accepted []string) {
	one := rig2.Submission{Spec: "one", Steps: []rig2.Step{{Count: 1, CPU: 1000, MemMB: 100, EstimateMs: 500}}}
	for n := first; n < first+submissions; n++ {
		daemon := d.Daemons[n%len(d.Daemons)]
		id := fmt.Sprintf("%016x", 0xe000+n)
		if d.Submit(daemon, engravePrefix+id, one) == 200 {
			accepted = append(accepted, id)
		}
		d.Submit(daemon, castPrefix+fmt.Sprintf("%016x", 0xc000+n), one)
		time.Sleep(interval)
	}
	return accepted
}
