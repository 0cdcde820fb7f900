package configurer

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// peerTimeout bounds one configuration call to a peer.
const peerTimeout = time.Second

// onHeartbeatReply adopts the proof in a peer's heartbeat reply, or fetches
// the peer's version if it is newer than the one in force here.
func (c *Configurer) onHeartbeatReply(reply member.HeartbeatReply) {
	state := reply.Peer.State
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.ConfigurationVersion > c.current.Number {
		c.newest = max(c.newest, state.ConfigurationVersion)
		c.fetch(reply.Peer.Address)
		return
	}
	if state.StoreProofAgeMillis >= 0 {
		// The peer measured the age after the heartbeat was sent, so the proof
		// dates from SentAt minus the age or later.
		age := time.Duration(state.StoreProofAgeMillis) * time.Millisecond
		c.proof = c.proof.Newer(Proof{At: reply.SentAt.Add(-age)})
	}
}

// fetch starts fetching a newer version from a peer, unless a fetch is in
// progress. The caller holds mu.
func (c *Configurer) fetch(address string) {
	if c.fetching {
		return
	}
	c.fetching = true
	known := c.current.Number
	c.fetches.Go(func() {
		defer func() {
			c.mu.Lock()
			c.fetching = false
			c.mu.Unlock()
		}()
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		req := &kumquatv1.FetchConfigurationRequest{KnownVersion: known}
		resp, err := c.settings.Dial(address).FetchConfiguration(ctx, req)
		if err == nil && resp.Version > known && len(resp.Document) > 0 {
			_ = c.activate(resp.Version, resp.Document, "fetch")
		}
	})
}

// PushConfiguration implements kumquatv1.Peer. It responds with the version in
// force after the push.
func (c *Configurer) PushConfiguration(_ context.Context, req *kumquatv1.PushConfigurationRequest) (*kumquatv1.PushConfigurationResponse, error) {
	// A version that can't be parsed doesn't come into force, so the response
	// doesn't confirm it.
	_ = c.activate(req.Version, req.Document, "push")
	return &kumquatv1.PushConfigurationResponse{Version: c.Current().Number}, nil
}

// FetchConfiguration implements kumquatv1.Peer. It responds with the version in
// force, and with its document if the caller has an older version.
func (c *Configurer) FetchConfiguration(_ context.Context, req *kumquatv1.FetchConfigurationRequest) (*kumquatv1.FetchConfigurationResponse, error) {
	current := c.Current()
	resp := &kumquatv1.FetchConfigurationResponse{Version: current.Number}
	if current.Number > req.KnownVersion {
		resp.Document = current.Document
	}
	return resp, nil
}
