package slotter

import (
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/exchanger"
	"github.com/kumquatstack/kumquatstack/internal/connection/lister"
	"github.com/kumquatstack/kumquatstack/internal/process/owner"
	"github.com/kumquatstack/kumquatstack/internal/process/picker"
)

// An idleConn is an open connection that carries no request.
type idleConn struct {
	conn  *exchanger.Conn
	since time.Time // start of the idle time
}

// A runner is one replica of an upstream. It is guarded by the table's lock.
type runner struct {
	host      lister.Host
	partition owner.Partition
	// isListed is true while the host list contains the runner.
	isListed bool
	// isDataCentreOut is true while operators have taken the runner's data centre out of service.
	isDataCentreOut bool
	inFlight        int
	idle            []idleConn
	health          picker.Health
}

// isUsable reports whether the host list contains the runner as live and its data
// centre is in service.
func (r *runner) isUsable() bool {
	return r.isListed && !r.isDataCentreOut && r.host.State == lister.StateLive
}

// popIdle removes and returns the most recently used idle connection, or returns nil.
func (r *runner) popIdle() *exchanger.Conn {
	if len(r.idle) == 0 {
		return nil
	}
	last := len(r.idle) - 1
	conn := r.idle[last].conn
	r.idle = r.idle[:last]
	return conn
}

// takeIdle removes and returns all idle connections.
func (r *runner) takeIdle() []*exchanger.Conn {
	conns := make([]*exchanger.Conn, 0, len(r.idle))
	for _, idle := range r.idle {
		conns = append(conns, idle.conn)
	}
	r.idle = nil
	return conns
}

// takeStale removes and returns the idle connections that have to be closed: all of
// them if the runner may not be used, and otherwise those past the idle timeout.
func (r *runner) takeStale(mayUse bool, now time.Time) []*exchanger.Conn {
	if len(r.idle) == 0 {
		return nil
	}
	if !mayUse || !r.isUsable() {
		return r.takeIdle()
	}
	var stale []*exchanger.Conn
	kept := r.idle[:0]
	for _, idle := range r.idle {
		if now.Sub(idle.since) > idleTimeout {
			stale = append(stale, idle.conn)
			continue
		}
		kept = append(kept, idle)
	}
	r.idle = kept
	return stale
}
