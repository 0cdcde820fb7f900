package sharder

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/connection/commander"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/standin/judge"
	"github.com/kumquatstack/kumquatstack/internal/standin/keyvalue"
	agent "github.com/kumquatstack/kumquatstack/internal/standin/worker"
)

// A gate holds back all commands of one owner while it is shut, as a pause of
// its process does.
type gate struct {
	commander.Dialer
	mu   sync.Mutex
	open chan struct{}
}

func newGate(d commander.Dialer) *gate {
	g := &gate{Dialer: d, open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) lift() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *gate) Agent(address string) commander.Agent {
	return &tappedAgent{Agent: g.Dialer.Agent(address), tap: g}
}

// around implements interceptor.
func (g *gate) around(_ string, send func() error) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
	return send()
}

// A chaos is one random course of failures.
type chaos struct {
	*rig
	random *rand.Rand
	seats  map[string]*seat
	gates  map[string]*gate
	paused []*seat
	lifts  []*gate
	urgent int
	// reachable keeps workers from being cut off.
	reachable bool
	// intents are all that were confirmed.
	intents []*kumquatv1.IntentRecord
}

func (c *chaos) seat(dc string) {
	var g *gate
	c.seats[dc] = c.own(dc, func(d commander.Dialer) commander.Dialer {
		g = newGate(d)
		return g
	})
	c.gates[dc] = g
}

func (c *chaos) dc() string { return []string{"atl-a", "ath-a"}[c.random.IntN(2)] }

func (c *chaos) worker() *agent.Fake {
	return c.fakes[fmt.Sprintf("%s-w%d", c.dc(), c.random.IntN(3))]
}

// step makes one thing fail, and says what.
func (c *chaos) step() string {
	switch dc := c.dc(); c.random.IntN(9) {
	case 0:
		c.store.SetFaults(keyvalue.Faults{})
		c.seats[dc].kill()
		c.seat(dc)
		return "kill " + dc
	case 1:
		c.store.SetFaults(keyvalue.Faults{})
		c.gates[dc].shut()
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		c.seats[dc].grant.set(false, false)
		c.paused = append(c.paused, c.seats[dc])
		c.lifts = append(c.lifts, c.gates[dc])
		c.seat(dc)
		return "pause " + dc
	case 2:
		if len(c.lifts) > 0 {
			c.lifts[0].lift()
			c.lifts = c.lifts[1:]
		}
		return "wake one"
	case 3:
		if c.reachable {
			return "nothing"
		}
		c.worker().SetFaults(agent.Faults{Unreachable: true, Hang: c.random.IntN(2) == 0})
		return "cut a worker off"
	case 4, 5:
		for _, fake := range c.fakes {
			fake.SetFaults(agent.Faults{LoseAnswers: c.random.IntN(3), FailCheckpoints: c.random.IntN(4) == 0})
		}
		return "reconnect workers, lose answers"
	case 6:
		c.store.SetFaults(keyvalue.Faults{Outage: c.random.IntN(2) == 0, LoseAnswersPercent: 20})
		return "store faults"
	case 7:
		out := c.random.IntN(2) == 0
		c.setOut(dc, out)
		return fmt.Sprintf("%s out %t", dc, out)
	default:
		c.store.SetFaults(keyvalue.Faults{})
		intent := intentOf(fmt.Sprintf("urgent%d", c.urgent), dc, 3, 5*time.Second)
		intent.Kind = kumquatv1.TaskKind_TASK_KIND_RUN_NOW
		intent.Resources.MilliCores = 16000
		c.urgent++
		c.seats[dc].Ingest(intent)
		c.seats[dc].evictSome()
		c.intents = append(c.intents, intent)
		return "urgent in " + dc
	}
}

// heal ends all failures.
func (c *chaos) heal() {
	c.store.SetFaults(keyvalue.Faults{})
	c.setOut("atl-a", false)
	c.setOut("ath-a", false)
	for _, fake := range c.fakes {
		fake.SetFaults(agent.Faults{})
	}
	for _, g := range c.lifts {
		g.lift()
	}
	for _, s := range c.paused {
		s.kill()
	}
	for dc, s := range c.seats {
		for _, intent := range c.intents {
			if intent.GetShards()[0].GetDataCentre() == dc {
				s.Ingest(intent)
			}
		}
	}
}

func TestChaos(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runChaos(t, seed, false) })
		})
	}
}

// While all workers can be reached, nothing runs again after it has finished.
func TestChaosWithReachableWorkers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := runChaos(t, seed, true)
				c.assertPromises(200 + 3*c.urgent)
			})
		})
	}
}

func runChaos(t *testing.T, seed uint64, reachable bool) *chaos {
	c := &chaos{rig: newRig(t, 3), random: rand.New(rand.NewPCG(seed, 1)), seats: make(map[string]*seat), gates: make(map[string]*gate)}
	c.reachable = reachable
	c.seat("atl-a")
	c.seat("ath-a")
	defer func() {
		for _, s := range c.seats {
			s.kill()
		}
	}()
	c.intents = []*kumquatv1.IntentRecord{
		intentOf("casts", "atl-a", 100, 25*time.Second),
		intentOf("proofs", "ath-a", 100, 25*time.Second),
	}
	for _, intent := range c.intents {
		c.seats[intent.GetShards()[0].GetDataCentre()].Ingest(intent)
	}
	for range 25 {
		time.Sleep(time.Duration(500+c.random.IntN(4000)) * time.Millisecond)
		what := c.step()
		t.Logf("%s %s", time.Now().Format("04:05.000"), what)
	}
	c.heal()
	total := 200 + 3*c.urgent
	until(t, "all tasks are finished", func() bool {
		return c.count(c.seats["atl-a"].Sharder, finishedState)+c.count(c.seats["ath-a"].Sharder, finishedState) == total
	})
	c.assertOnePlace()
	return c
}

// assertOnePlace checks the promises that hold whatever fails. A task whose
// run finished unseen at a worker that was cut off may run again.
func (c *chaos) assertOnePlace() {
	c.t.Helper()
	for _, breach := range c.fleet.Breaches() {
		if breach.Rule != judge.RuleStartAfterFinish {
			c.t.Errorf("breach: %s %s at %s: %s", breach.Rule, breach.Subject, breach.At.Format("04:05.000"), breach.Detail)
		}
	}
}
