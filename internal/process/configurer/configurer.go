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

// Settings are the dependencies of a Configurer.
type Settings struct {
	Store    storer.Store
	Watcher  *watcher.Watcher
	Recorder recorder.Recorder
	// Dial returns a client for the daemon at an address.
	Dial func(address string) kumquatv1.Peer
}

// A Configurer keeps the newest declarations in force. A version number is the
// revision of the declarations in the store. A version never replaces a newer
// one.
//
// Lock order: activationMu before mu. OnChange callbacks run with activationMu
// held.
type Configurer struct {
	settings Settings
	fetches  sync.WaitGroup

	activationMu sync.Mutex // serialises changes of the version in force

	mu      sync.Mutex
	group   *member.Group // nil until Join
	current declarer.Version
	newest  int64 // newest version known to be durable, also if it can't be read here
	proof   Proof
	// hadFreshProof is whether the proof was fresh when recordProofChange last ran.
	hadFreshProof bool
	listeners     []func(declarer.Version)
	fetching      bool          // a fetch from a peer is in progress
	ready         chan struct{} // closed once isReady is true
	isReady       bool
}

// New returns a configurer without declarations. It subscribes to the watcher for
// changes of the stored declarations.
func New(settings Settings) *Configurer {
	c := &Configurer{settings: settings, ready: make(chan struct{})}
	settings.Watcher.Subscribe(Key, c.onStoreChanges)
	return c
}

// Join lets the configurer exchange versions and proofs with the members of the
// group. It must be called before Run.
func (c *Configurer) Join(group *member.Group) {
	c.mu.Lock()
	c.group = group
	c.mu.Unlock()
	group.OnHeartbeatReply(c.onHeartbeatReply)
}

// OnChange registers a callback that is called for each version that comes into
// force, in ascending order.
func (c *Configurer) OnChange(listener func(declarer.Version)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listeners = append(c.listeners, listener)
}

// Ready returns a channel that is closed once declarations are in force.
func (c *Configurer) Ready() <-chan struct{} { return c.ready }

// Current returns the version in force. Its Declarations are nil until a first
// version is in force.
func (c *Configurer) Current() declarer.Version {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// Declarations returns the declarations in force, or nil if there are none yet.
func (c *Configurer) Declarations() *declarer.Declarations { return c.Current().Declarations }

// VersionAndProofAge returns the version in force and the age of the proof that the store
// holds no newer one. The age is negative if there is no such proof.
func (c *Configurer) VersionAndProofAge(now time.Time) (version int64, proofAge time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.newest > c.current.Number {
		return c.current.Number, -1
	}
	return c.current.Number, c.proof.Age(now)
}

// MayStart reports whether new tasks may start in a data centre. They may if the
// version in force has the data centre in service and a proof no older than
// ProofLifetime shows that the store holds no newer version.
func (c *Configurer) MayStart(dataCentre string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.current.Declarations == nil || c.newest > c.current.Number {
		return false
	}
	return !c.current.Declarations.IsOut(dataCentre) && c.proof.IsFresh(now)
}

// Run keeps the proof fresh by reading the store when needed, until the context
// ends.
func (c *Configurer) Run(ctx context.Context) error {
	ticker := time.NewTicker(proofCheckInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		now := time.Now()
		if age := c.proofAge(now); age < 0 || age > proofRefreshAge {
			c.readStore(ctx)
		}
		c.recordProofChange(time.Now())
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
	c.fetches.Wait()
	return ctx.Err()
}

func (c *Configurer) proofAge(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proof.Age(now)
}

// readStore reads the declarations from the store and brings them into force.
// The response also proves that at the time of the request the store held no newer
// version.
func (c *Configurer) readStore(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	sent := time.Now()
	entry, err := c.settings.Store.Get(ctx, Key)
	switch {
	case err == nil:
		c.activateEntry(entry, "read")
	case !errors.Is(err, errs.ErrNotFound):
		return
	}
	c.addProof(Proof{At: sent})
}

// addProof replaces the present proof by the given one if that is younger.
func (c *Configurer) addProof(proof Proof) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.proof = c.proof.Newer(proof)
}

// recordProofChange records an event when the proof has ceased to be fresh or is
// fresh again.
func (c *Configurer) recordProofChange(now time.Time) {
	c.mu.Lock()
	isFresh := c.proof.IsFresh(now)
	changed := isFresh != c.hadFreshProof
	c.hadFreshProof = isFresh
	c.mu.Unlock()
	if changed && isFresh {
		c.settings.Recorder.Record(now, EventProofRegained, recorder.Fields{})
	}
	if changed && !isFresh {
		c.settings.Recorder.Record(now, EventProofLost, recorder.Fields{})
	}
}

// onStoreChanges brings changed declarations of the store into force.
func (c *Configurer) onStoreChanges(changes []watcher.Change) {
	for _, change := range changes {
		if change.Entry.Key == Key && !change.Deleted {
			c.activateEntry(change.Entry, "watch")
		}
	}
}

// activateEntry brings the declarations of a store entry into force if they are
// newer than the present ones.
func (c *Configurer) activateEntry(entry storer.Entry, source string) {
	if int64(entry.Revision) <= c.Current().Number {
		return
	}
	stored, err := parseEnvelope(entry)
	if err != nil {
		c.registerUnreadableVersion(int64(entry.Revision), err)
		return
	}
	_ = c.activate(int64(entry.Revision), []byte(stored.Document), source)
}

// activate brings a durable version into force if it is newer than the present one.
// It returns an error if the document can't be parsed. The source, recorded in the
// event, is how the version arrived: "apply", "read", "watch", "push" or "fetch".
func (c *Configurer) activate(version int64, document []byte, source string) error {
	c.activationMu.Lock()
	defer c.activationMu.Unlock()
	if version <= c.Current().Number {
		return nil
	}
	declared, err := declarer.Parse(documentName, document)
	if err != nil {
		c.registerUnreadableVersion(version, err)
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

// registerUnreadableVersion notes that this daemon can't parse a durable version.
// The earlier version stays in force, but no tasks start under the earlier one.
func (c *Configurer) registerUnreadableVersion(version int64, cause error) {
	c.mu.Lock()
	isKnown := c.newest >= version
	c.newest = max(c.newest, version)
	c.mu.Unlock()
	if isKnown {
		return
	}
	c.settings.Recorder.Record(time.Now(), EventUnreadable, recorder.Fields{
		"version": strconv.FormatInt(version, 10), "cause": cause.Error(),
	})
}
