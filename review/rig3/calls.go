package rig3

import (
	"net/http"
	"time"
)

// serve returns the handler of a kind of call that changes what runs. A call that reaches a
// runner as it crashes is not carried out.
func (n *Runner) serve(carryOut func(o order) (reason string)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		o, ok := n.read(w, req)
		if !ok {
			return
		}
		n.mu.Lock()
		if n.server == nil {
			n.mu.Unlock()
			panic(http.ErrAbortHandler) // closes the connection
		}
		reason := n.admit(o)
		if reason == "" {
			reason = carryOut(o)
		}
		body := n.response(reason)
		n.mu.Unlock()
		respond(w, body)
	}
}

// admit applies the fencing token and the lease of a call, or returns the reason for refusing
// it. The caller holds the lock.
func (n *Runner) admit(o order) (reason string) {
	if o.FencingToken < n.fence {
		return "fence"
	}
	n.fence = o.FencingToken
	end := n.startedAt.Add(time.Duration(o.DeadlineMs) * time.Millisecond)
	if longest := time.Now().Add(maxHold); end.After(longest) {
		end = longest
	}
	if o.DeadlineMs > 0 && end.After(n.leaseEnd) {
		n.leaseEnd = end
		life := n.life
		time.AfterFunc(time.Until(end), func() { n.lapse(life) })
	}
	return ""
}

// lapse ends all that runs if the lease of a life of the runner has run out.
func (n *Runner) lapse(life int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.life != life || time.Now().Before(n.leaseEnd) {
		return
	}
	for _, j := range n.running {
		n.finish(j, "lapsed")
	}
}

// start carries out a start. The caller holds the lock.
func (n *Runner) start(o order) (reason string) {
	key := runKey{o.Task, o.Run}
	if _, ok := n.running[key]; ok {
		return ""
	}
	switch {
	case o.Run <= n.maxEnded[o.Task]:
		return "old"
	case o.DeadlineMs <= n.clock():
		return "late"
	}
	length := n.opts.Length(o.Task)
	j := &job{length: length, run: n.rig.Ledger.start(Run{
		Runner: n.opts.ID, Life: n.life, Task: o.Task, Number: o.Run, Token: o.FencingToken, Started: time.Now(),
	})}
	n.running[key] = j
	if n.opts.Gang != nil {
		if step, size := n.opts.Gang(o.Task); size > 0 {
			n.startMember(j, step, size)
			return ""
		}
	}
	j.timer = time.AfterFunc(length, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.finish(j, "done")
	})
	return ""
}

// finish ends a run, unless it has ended. The caller holds the lock.
func (n *Runner) finish(j *job, how string) {
	if n.running[j.key()] != j {
		return
	}
	j.timer.Stop()
	delete(n.running, j.key())
	n.maxEnded[j.run.Task] = max(n.maxEnded[j.run.Task], j.run.Number)
	n.endCount++
	n.ended = append(n.ended, endRow{n.endCount, j.run})
	n.rig.Ledger.end(j.run, how)
	if j.gang != nil && how != "done" {
		n.rig.gangs.leave(j)
	}
	n.announce()
}

// stop carries out a stop. The caller holds the lock.
func (n *Runner) stop(o order) (reason string) {
	n.maxEnded[o.Task] = max(n.maxEnded[o.Task], o.Run)
	if j, ok := n.running[runKey{o.Task, o.Run}]; ok {
		time.AfterFunc(stopTime, func() {
			n.mu.Lock()
			defer n.mu.Unlock()
			n.finish(j, "stopped")
		})
	}
	return ""
}

// hold serves the poll of an owner.
func (n *Runner) hold(w http.ResponseWriter, req *http.Request) {
	o, ok := n.read(w, req)
	if !ok {
		return
	}
	deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
	n.mu.Lock()
	life := n.life
	reason := ""
	if n.server != nil {
		reason = n.admit(o)
	}
	for reason == "" && n.server != nil && n.life == life {
		n.acknowledge(o)
		if len(n.ended) > 0 || !time.Now().Before(deadline) {
			break
		}
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-req.Context().Done():
		}
		n.mu.Lock()
		if req.Context().Err() != nil {
			break
		}
	}
	if n.server == nil || n.life != life {
		n.mu.Unlock()
		panic(http.ErrAbortHandler) // closes the connection
	}
	body := n.response(reason)
	if reason == "" {
		running := [][]any{}
		for _, j := range n.running {
			percent := int(min(100, 100*time.Since(j.run.Started)/max(1, j.length)))
			running = append(running, []any{j.run.Task, j.run.Number, "", percent, 0})
		}
		ended := [][]any{}
		for _, e := range n.ended[:min(len(n.ended), maxEnds)] {
			ended = append(ended, []any{e.n, e.run.Task, e.run.Number, e.run.How, ""})
		}
		body["Running"], body["Ended"] = running, ended
	}
	n.mu.Unlock()
	respond(w, body)
}

// acknowledge forgets the ends that a poll acknowledges. The caller holds the lock.
func (n *Runner) acknowledge(o order) {
	for len(n.ended) > 0 && n.ended[0].n <= o.Acked {
		n.ended = n.ended[1:]
	}
}

// response returns the body of a response, without lists. The caller holds the lock.
func (n *Runner) response(reason string) map[string]any {
	body := map[string]any{"ClockMs": n.clock(), "born": n.startedAt.UnixMilli()}
	if reason != "" {
		body["Reason"] = reason
	}
	return body
}
