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

// A commandGate holds back all commands of one owner while it is paused, as a
// pause of the owner's process does.
type commandGate struct {
	commander.Dialer
	mu   sync.Mutex
	open chan struct{}
}

func newCommandGate(d commander.Dialer) *commandGate {
	g := &commandGate{Dialer: d, open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *commandGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *commandGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

func (g *commandGate) Agent(address string) commander.Agent {
	return &interceptedAgent{Agent: g.Dialer.Agent(address), interceptor: g}
}

// intercept implements interceptor.
func (g *commandGate) intercept(_ string, send func() error) error {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
	return send()
}

// A chaos is one random sequence of failures.
type chaos struct {
	*rig
	random       *rand.Rand
	testOwners   map[string]*testOwner
	gates        map[string]*commandGate
	pausedOwners []*testOwner
	pausedGates  []*commandGate
	urgent       int
	// keepWorkersReachable keeps workers from being made unreachable.
	keepWorkersReachable bool
	// intents are all confirmed intents.
	intents []*kumquatv1.IntentRecord
}

func (c *chaos) replaceOwner(dc string) {
	var g *commandGate
	c.testOwners[dc] = c.startOwner(dc, func(d commander.Dialer) commander.Dialer {
		g = newCommandGate(d)
		return g
	})
	c.gates[dc] = g
}

func (c *chaos) dc() string { return []string{"atl-a", "ath-a"}[c.random.IntN(2)] }

func (c *chaos) worker() *agent.Fake {
	return c.fakes[fmt.Sprintf("%s-w%d", c.dc(), c.random.IntN(3))]
}

// step causes one random failure, or ends one, and returns its description for
// the log.
func (c *chaos) step() string {
	switch dc := c.dc(); c.random.IntN(9) {
	case 0:
		c.store.SetFaults(keyvalue.Faults{})
		c.testOwners[dc].kill()
		c.replaceOwner(dc)
		return "kill " + dc
	case 1:
		c.store.SetFaults(keyvalue.Faults{})
		c.gates[dc].pause()
		time.Sleep(time.Duration(c.random.IntN(1000)) * time.Millisecond)
		c.testOwners[dc].authority.set(false, false)
		c.pausedOwners = append(c.pausedOwners, c.testOwners[dc])
		c.pausedGates = append(c.pausedGates, c.gates[dc])
		c.replaceOwner(dc)
		return "pause " + dc
	case 2:
		if len(c.pausedGates) > 0 {
			c.pausedGates[0].resume()
			c.pausedGates = c.pausedGates[1:]
		}
		return "resume a paused owner"
	case 3:
		if c.keepWorkersReachable {
			return "nothing"
		}
		c.worker().SetFaults(agent.Faults{Unreachable: true, Hang: c.random.IntN(2) == 0})
		return "make a worker unreachable"
	case 4, 5:
		for _, fake := range c.fakes {
			fake.SetFaults(agent.Faults{LoseAnswers: c.random.IntN(3), FailCheckpoints: c.random.IntN(4) == 0})
		}
		return "make workers reachable, lose answers"
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
		c.testOwners[dc].Ingest(intent)
		c.testOwners[dc].evictSome()
		c.intents = append(c.intents, intent)
		return "urgent in " + dc
	}
}

// heal ends all failures and ingests all intents again.
func (c *chaos) heal() {
	c.store.SetFaults(keyvalue.Faults{})
	c.setOut("atl-a", false)
	c.setOut("ath-a", false)
	for _, fake := range c.fakes {
		fake.SetFaults(agent.Faults{})
	}
	for _, g := range c.pausedGates {
		g.resume()
	}
	for _, s := range c.pausedOwners {
		s.kill()
	}
	for dc, s := range c.testOwners {
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

// As long as all workers can be reached, the owner learns of every end of a
// run. A failure of owners or of the store must then not make a task run again
// after it has finished.
func TestChaosWithReachableWorkers(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := runChaos(t, seed, true)
				c.assertGuarantees(200 + 3*c.urgent)
			})
		})
	}
}

func runChaos(t *testing.T, seed uint64, keepWorkersReachable bool) *chaos {
	c := &chaos{rig: newRig(t, 3), random: rand.New(rand.NewPCG(seed, 1)), testOwners: make(map[string]*testOwner), gates: make(map[string]*commandGate)}
	c.keepWorkersReachable = keepWorkersReachable
	c.replaceOwner("atl-a")
	c.replaceOwner("ath-a")
	defer func() {
		for _, s := range c.testOwners {
			s.kill()
		}
	}()
	c.intents = []*kumquatv1.IntentRecord{
		intentOf("casts", "atl-a", 100, 25*time.Second),
		intentOf("proofs", "ath-a", 100, 25*time.Second),
	}
	for _, intent := range c.intents {
		c.testOwners[intent.GetShards()[0].GetDataCentre()].Ingest(intent)
	}
	for range 25 {
		time.Sleep(time.Duration(500+c.random.IntN(4000)) * time.Millisecond)
		what := c.step()
		t.Logf("%s %s", time.Now().Format("04:05.000"), what)
	}
	c.heal()
	total := 200 + 3*c.urgent
	until(t, "all tasks are finished", func() bool {
		return c.count(c.testOwners["atl-a"].Sharder, finishedState)+c.count(c.testOwners["ath-a"].Sharder, finishedState) == total
	})
	c.assertGuaranteesExceptReruns()
	return c
}

// assertGuaranteesExceptReruns checks the guarantees that hold under every
// failure. A task that finished at a worker that was unreachable may run again,
// since the owner may not learn of its end in time.
func (c *chaos) assertGuaranteesExceptReruns() {
	c.t.Helper()
	for _, breach := range c.fleet.Breaches() {
		if breach.Rule != judge.RuleStartAfterFinish {
			c.t.Errorf("breach: %s %s at %s: %s", breach.Rule, breach.Subject, breach.At.Format("04:05.000"), breach.Detail)
		}
	}
}
