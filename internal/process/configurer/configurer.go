package configurer

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/kumquatstack/kumquatstack/internal/connection/storer"
	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/process/recorder"
	"github.com/kumquatstack/kumquatstack/internal/process/watcher"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
	"github.com/kumquatstack/kumquatstack/internal/version/declarer"
)

// Settings are what a Configurer needs.
type Settings struct {
	Store    storer.Store
	Watcher  *watcher.Watcher
	Recorder recorder.Recorder
	// Dial returns the client of the daemon at an address.
	Dial func(address string) kumquatv1.Peer
}

// A Configurer keeps the newest declarations in force. Versions are store
// revisions and are applied only forwards.
//
// Lock order: applying before mu; callbacks run with applying held.
type Configurer struct {
	settings Settings
	calls    sync.WaitGroup

	applying sync.Mutex // serialises changes of the version in force

	mu        sync.Mutex
	group     *member.Group
	current   declarer.Version
	newest    int64 // newest version known to be durable
	proof     Proof
	hadProof  bool
	listeners []func(declarer.Version)
	fetching  bool
	ready     chan struct{}
	isReady   bool
}

// New returns a configurer without declarations. It subscribes to the watcher.
func New(settings Settings) *Configurer {
	c := &Configurer{settings: settings, ready: make(chan struct{})}
	settings.Watcher.Subscribe(Key, c.take)
	return c
}

// Join lets the configurer exchange versions and proof with the group. It has
// to be called before Run.
func (c *Configurer) Join(group *member.Group) {
	c.mu.Lock()
	c.group = group
	c.mu.Unlock()
	group.OnHeartbeatReply(c.hear)
}

// OnChange registers a callback for versions that come into force, in order.
func (c *Configurer) OnChange(listener func(declarer.Version)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, listener)
}

// Ready returns a channel that is closed once declarations are in force.
func (c *Configurer) Ready() <-chan struct{} { return c.ready }

// Current returns the version in force; its Declarations are nil before the
// first.
func (c *Configurer) Current() declarer.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Declarations returns the declarations in force, nil before the first.
func (c *Configurer) Declarations() *declarer.Declarations { return c.Current().Declarations }

// State returns the version in force and the age of the proof that the store
// holds no newer one; a negative age means no proof.
func (c *Configurer) State(now time.Time) (version int64, proofAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest > c.current.Number {
		return c.current.Number, -1
	}
	return c.current.Number, c.proof.Age(now)
}

// MayStart reports whether new tasks may start in a data centre: it is in
// service by the version in force, and a proof not older than ProofLifetime
// says that there is no newer version.
func (c *Configurer) MayStart(dataCentre string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Declarations == nil || c.newest > c.current.Number {
		return false
	}
	return !c.current.Declarations.IsOut(dataCentre) && c.proof.IsFresh(now)
}

// Run keeps the proof fresh until the context ends.
func (c *Configurer) Run(ctx context.Context) error {
	ticker := time.NewTicker(proofPoll)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		if age := c.proofAge(now); age < 0 || age > proofRefresh {
			c.read(ctx)
		}
		c.noteProof(time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	c.calls.Wait()
	return ctx.Err()
}

func (c *Configurer) proofAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proof.Age(now)
}

// read takes the declarations from the store, which gives proof.
func (c *Configurer) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	entry, err := c.settings.Store.Get(ctx, Key)
	switch {
	case err == nil:
		c.takeEntry(entry, "read")
	case !errors.Is(err, errs.ErrNotFound):
		return
	}
	c.prove(Proof{At: sent})
}

func (c *Configurer) prove(proof Proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proof = c.proof.Newer(proof)
}

func (c *Configurer) noteProof(now time.Time) {
	c.mu.Lock()
	has := c.proof.IsFresh(now)
	changed := has != c.hadProof
	c.hadProof = has
	c.mu.Unlock()
	if changed && has {
		c.settings.Recorder.Record(now, EventProofRegained, recorder.Fields{})
	}
	if changed && !has {
		c.settings.Recorder.Record(now, EventProofLost, recorder.Fields{})
	}
}

// take follows the declarations in the store.
func (c *Configurer) take(changes []watcher.Change) {
	for _, change := range changes {
		if change.Entry.Key == Key && !change.Deleted {
			c.takeEntry(change.Entry, "watch")
		}
	}
}

func (c *Configurer) takeEntry(entry storer.Entry, source string) {
	if int64(entry.Revision) <= c.Current().Number {
		return
	}
	e, err := parseEnvelope(entry)
	if err != nil {
		c.refuse(int64(entry.Revision), err)
		return
	}
	_ = c.offer(int64(entry.Revision), []byte(e.Document), source)
}

// offer brings a durable version into force unless it is older than the
// present one.
func (c *Configurer) offer(version int64, document []byte, source string) error {
	c.applying.Lock()
	defer c.applying.Unlock()
	if version <= c.Current().Number {
		return nil
	}
	declared, err := declarer.Parse(documentName, document)
	if err != nil {
		c.refuse(version, err)
		return eris.Wrapf(err, "version %d", version)
	}
	next := declarer.Version{Number: version, Document: document, Declarations: declared}
	c.mu.Lock()
	c.current = next
	c.newest = max(c.newest, version)
	listeners := append([]func(declarer.Version){}, c.listeners...)
	if !c.isReady {
		c.isReady = true
		close(c.ready)
	}
	c.mu.Unlock()
	c.settings.Recorder.Record(time.Now(), EventInForce, recorder.Fields{
		"version": strconv.FormatInt(version, 10), "source": source,
	})
	for _, listener := range listeners {
		listener(next)
	}
	return nil
}

// refuse notes a durable version that this daemon can't read. The former one
// stays in force, but nothing new starts on it.
func (c *Configurer) refuse(version int64, cause error) {
	c.mu.Lock()
	known := c.newest >= version
	c.newest = max(c.newest, version)
	c.mu.Unlock()
	if known {
		return
	}
	c.settings.Recorder.Record(time.Now(), EventUnreadable, recorder.Fields{
		"version": strconv.FormatInt(version, 10), "cause": cause.Error(),
	})
}
