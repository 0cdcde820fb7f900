package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silence"] = playSilence }

// playSilence lets the open channels between the daemons and the store fall silent for
// good, while new ones work, and adds a route.
func playSilence(d *deployment) (broken string, err error) {
	const added, apply = "/mould/", 2500 * time.Millisecond
	var workers []*worker
	for i := range 4 {
		workers = append(workers, newWorker(fmt.Sprintf("i-%d", i), 16, succeeds(300*time.Millisecond), "a", "r1-1"))
	}
	if err = d.start(3, workers, route(prefix)); err != nil {
		return "", err
	}
	d.press(8)
	time.Sleep(2 * time.Second)
	silent := time.Now()
	if d.trouble {
		for _, s := range d.daemons {
			d.rec.note("%d open channels from %s to the store fall silent", s.link.silence(), s.name)
		}
	}
	time.Sleep(100 * time.Millisecond)
	d.configure(route(prefix), route(added))
	acked := time.Now()
	var mu sync.Mutex
	var group sync.WaitGroup
	for _, s := range d.daemons {
		group.Go(func() {
			for time.Since(acked) < 20*time.Second {
				sent := time.Now()
				status, _ := d.call(s, http.MethodGet, added, nil)
				inTouch := sent.Sub(silent) > contactMs*time.Millisecond
				isLate := sent.Sub(acked) > apply && inTouch
				if status != http.StatusOK || isLate {
					d.rec.note("client: GET %s at %s sent %.1f s after the ack answered %d", added, s.name, sent.Sub(acked).Seconds(), status)
				}
				if status == http.StatusNotFound && isLate {
					mu.Lock()
					broken = fmt.Sprintf("CONFIG: %s, in touch, answered 404 for the new route %.1f s after the ack", s.name, sent.Sub(acked).Seconds())
					mu.Unlock()
				}
				if status == http.StatusOK {
					return
				}
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	group.Wait()
	return broken, nil
}

// press hands in submissions at all daemons, some at a time, as in a busy second.
func (d *deployment) press(atATime int) {
	var group sync.WaitGroup
	for k, s := range d.daemons {
		for n := range atATime {
			group.Go(func() {
				for round := range 3 {
					d.submit(s, fmt.Sprintf("%016x", 0x1000*(k+1)+0x10*n+round), "work", step{"Count": 2, "Cpu": 1000, "MemMb": 100, "EstimateMs": 300})
				}
			})
		}
	}
	group.Wait()
}
