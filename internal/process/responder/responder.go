// Package responder serves the peer protocol by handing each call to the part
// of the daemon that answers it.
package responder

import (
	"context"
	"fmt"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Members answers heartbeats and tells whose it got.
type Members interface {
	Heartbeat(ctx context.Context, req *kumquatv1.HeartbeatRequest) (*kumquatv1.HeartbeatResponse, error)
	Heard(ctx context.Context, req *kumquatv1.HeardRequest) (*kumquatv1.HeardResponse, error)
}

// Pledges answers calls about pledges.
type Pledges interface {
	Pledge(ctx context.Context, req *kumquatv1.PledgeRequest) (*kumquatv1.PledgeResponse, error)
	Block(ctx context.Context, req *kumquatv1.BlockRequest) (*kumquatv1.BlockResponse, error)
}

// Configurations answers calls about the declarations.
type Configurations interface {
	PushConfiguration(ctx context.Context, req *kumquatv1.PushConfigurationRequest) (*kumquatv1.PushConfigurationResponse, error)
	FetchConfiguration(ctx context.Context, req *kumquatv1.FetchConfigurationRequest) (*kumquatv1.FetchConfigurationResponse, error)
}

// Claims answers calls about idempotency keys.
type Claims interface {
	Claim(ctx context.Context, req *kumquatv1.ClaimRequest) (*kumquatv1.ClaimResponse, error)
	Complete(ctx context.Context, req *kumquatv1.CompleteRequest) (*kumquatv1.CompleteResponse, error)
}

// A Shard answers calls about the tasks of one shard.
type Shard interface {
	Adopt(ctx context.Context, req *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error)
	Submit(ctx context.Context, req *kumquatv1.SubmitRequest) (*kumquatv1.SubmitResponse, error)
	CancelTasks(ctx context.Context, req *kumquatv1.CancelTasksRequest) (*kumquatv1.CancelTasksResponse, error)
	ShardStatus(ctx context.Context, req *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error)
}

// EventSource answers calls for recorded events.
type EventSource interface {
	Events(ctx context.Context, req *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error)
}

// Handlers are the parts of the daemon that answer peers.
type Handlers struct {
	Members        Members
	Pledges        Pledges
	Configurations Configurations
	Claims         Claims
	Events         EventSource
	// Shard returns the shard by its partition name if this daemon owns it.
	Shard func(name string) (Shard, bool)
}

// A Responder implements the peer service.
type Responder struct {
	Members
	Pledges
	Configurations
	Claims
	EventSource
	shard func(name string) (Shard, bool)
}

var _ kumquatv1.Peer = (*Responder)(nil)

// New returns a responder over the parts.
func New(parts Handlers) *Responder {
	return &Responder{
		Members:        parts.Members,
		Pledges:        parts.Pledges,
		Configurations: parts.Configurations,
		Claims:         parts.Claims,
		EventSource:    parts.Events,
		shard:          parts.Shard,
	}
}

// owned returns a shard or the error for peers that asked the wrong daemon.
func (r *Responder) owned(name string) (Shard, error) {
	shard, ok := r.shard(name)
	if !ok {
		return nil, fmt.Errorf("%s: %w", name, errs.ErrNotOwner)
	}
	return shard, nil
}

// Adopt implements kumquatv1.Peer.
func (r *Responder) Adopt(ctx context.Context, req *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error) {
	shard, err := r.owned(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.Adopt(ctx, req)
	return resp, err
}

// Submit implements kumquatv1.Peer.
func (r *Responder) Submit(ctx context.Context, req *kumquatv1.SubmitRequest) (*kumquatv1.SubmitResponse, error) {
	shard, err := r.owned(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.Submit(ctx, req)
	return resp, err
}

// CancelTasks implements kumquatv1.Peer.
func (r *Responder) CancelTasks(ctx context.Context, req *kumquatv1.CancelTasksRequest) (*kumquatv1.CancelTasksResponse, error) {
	shard, err := r.owned(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.CancelTasks(ctx, req)
	return resp, err
}

// ShardStatus implements kumquatv1.Peer.
func (r *Responder) ShardStatus(ctx context.Context, req *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error) {
	shard, err := r.owned(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.ShardStatus(ctx, req)
	return resp, err
}
