package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["owed"] = playOwed }

// playOwed lets one of two workers of a kind crash, both of which are full of tasks that last
// and need that kind. Then a submission comes that any of the other workers has room for.
func playOwed(d *deployment) (broken string, err error) {
	const first, second = "5c0e7a21d94b36f8", "6d1f8b32ea5c47a9"
	var workers []*worker
	for i := range 8 {
		kind := "a"
		if i >= 6 {
			kind = "b"
		}
		workers = append(workers, newWorker(fmt.Sprintf("i-%d", i), 8, func(string, int64) plan { return plan{lasts: true} }, kind, "r1-1"))
	}
	if err = d.start(2, workers, route(prefix)); err != nil {
		return "", err
	}
	if !d.submit(d.daemons[0], first, "need kind b", step{"Count": 2, "Cpu": 8000, "MemMb": 100, "EstimateMs": 500, "LongRunning": true, "RequiredLabel": "b"}) {
		return "", errors.New("the first submission was not accepted")
	}
	if !await(5*time.Second, func() bool { return d.isRunning(first+".0.0.0") && d.isRunning(first+".0.0.1") }) {
		return "", errors.New("the first submission did not start")
	}
	time.Sleep(3 * time.Second)
	if d.trouble {
		d.crash(workers[7])
	}
	time.Sleep(12 * time.Second) // calm again
	if !d.submit(d.daemons[1], second, "any kind", step{"Count": 1, "Cpu": 6000, "MemMb": 100, "EstimateMs": 500, "LongRunning": true}) {
		return "", errors.New("the second submission was not accepted")
	}
	accepted := time.Now()
	if await(finish+idlePause, func() bool { return d.isRunning(second + ".0.0.0") }) {
		return "", nil
	}
	d.state(d.daemons[0], second)
	return fmt.Sprintf("LOST: %s has had nothing running for %.0f s, though i-0 to i-5 are sound, empty and have room for it", second, time.Since(accepted).Seconds()), nil
}
