package configurer

import (
	"context"
	"time"

	"github.com/kumquatstack/kumquatstack/internal/process/member"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// peerTimeout bounds one call about configuration to a peer.
const peerTimeout = time.Second

// hear takes in a peer's answer to a heartbeat: its proof, or the news that it
// has a later version.
func (c *Configurer) hear(word member.HeartbeatReply) {
	state := word.Peer.State
	c.mu.Lock()
	defer c.mu.Unlock()
	if state.ConfigurationVersion > c.current.Number {
		c.newest = max(c.newest, state.ConfigurationVersion)
		c.fetch(word.Peer.Address)
		return
	}
	if state.StoreProofAgeMillis >= 0 {
		// The answer was written after the question was sent, so its proof
		// is at most this old.
		age := time.Duration(state.StoreProofAgeMillis) * time.Millisecond
		c.proof = c.proof.Newer(Proof{At: word.SentAt.Add(-age)})
	}
}

// fetch takes a later version from a peer; the caller holds mu.
func (c *Configurer) fetch(address string) {
	if c.fetching {
		return
	}
	c.fetching = true
	known := c.current.Number
	c.calls.Go(func() {
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
			_ = c.offer(resp.Version, resp.Document, "fetch")
		}
	})
}

// PushConfiguration implements the peer service.
func (c *Configurer) PushConfiguration(_ context.Context, req *kumquatv1.PushConfigurationRequest) (*kumquatv1.PushConfigurationResponse, error) {
	// A version that can't be read is not confirmed by the answer.
	_ = c.offer(req.Version, req.Document, "push")
	return &kumquatv1.PushConfigurationResponse{Version: c.Current().Number}, nil
}

// FetchConfiguration implements the peer service.
func (c *Configurer) FetchConfiguration(_ context.Context, req *kumquatv1.FetchConfigurationRequest) (*kumquatv1.FetchConfigurationResponse, error) {
	current := c.Current()
	resp := &kumquatv1.FetchConfigurationResponse{Version: current.Number}
	if current.Number > req.KnownVersion {
		resp.Document = current.Document
	}
	return resp, nil
}
