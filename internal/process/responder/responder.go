// Package responder implements the peer service by passing each call to the component
// of the daemon that handles it.
package responder

import (
	"context"
	"fmt"

	"github.com/kumquatstack/kumquatstack/internal/errs"
	"github.com/kumquatstack/kumquatstack/internal/rpc/kumquatv1"
)

// Members handles heartbeats and reports which incarnations were heard.
type Members interface {
	Heartbeat(ctx context.Context, req *kumquatv1.HeartbeatRequest) (*kumquatv1.HeartbeatResponse, error)
	Heard(ctx context.Context, req *kumquatv1.HeardRequest) (*kumquatv1.HeardResponse, error)
}

// Pledges handles calls about the pledges of guarantors.
type Pledges interface {
	Pledge(ctx context.Context, req *kumquatv1.PledgeRequest) (*kumquatv1.PledgeResponse, error)
	Block(ctx context.Context, req *kumquatv1.BlockRequest) (*kumquatv1.BlockResponse, error)
}

// Configurations handles calls about versions of the declarations.
type Configurations interface {
	PushConfiguration(ctx context.Context, req *kumquatv1.PushConfigurationRequest) (*kumquatv1.PushConfigurationResponse, error)
	FetchConfiguration(ctx context.Context, req *kumquatv1.FetchConfigurationRequest) (*kumquatv1.FetchConfigurationResponse, error)
}

// Claims handles calls about claims of idempotency keys.
type Claims interface {
	Claim(ctx context.Context, req *kumquatv1.ClaimRequest) (*kumquatv1.ClaimResponse, error)
	Complete(ctx context.Context, req *kumquatv1.CompleteRequest) (*kumquatv1.CompleteResponse, error)
}

// A Shard handles calls about the tasks of one shard.
type Shard interface {
	Adopt(ctx context.Context, req *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error)
	Submit(ctx context.Context, req *kumquatv1.SubmitRequest) (*kumquatv1.SubmitResponse, error)
	CancelTasks(ctx context.Context, req *kumquatv1.CancelTasksRequest) (*kumquatv1.CancelTasksResponse, error)
	ShardStatus(ctx context.Context, req *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error)
}

// EventSource returns recorded events.
type EventSource interface {
	Events(ctx context.Context, req *kumquatv1.EventsRequest) (*kumquatv1.EventsResponse, error)
}

// Handlers are the components of the daemon that handle the calls of peers.
type Handlers struct {
	Members        Members
	Pledges        Pledges
	Configurations Configurations
	Claims         Claims
	Events         EventSource
	// Shard returns the shard with the given partition name. It returns false if
	// this daemon doesn't own the shard.
	Shard func(name string) (Shard, bool)
}

// A Responder implements the peer service by its embedded handlers and shards.
type Responder struct {
	Members
	Pledges
	Configurations
	Claims
	EventSource
	shard func(name string) (Shard, bool)
}

var _ kumquatv1.Peer = (*Responder)(nil)

// New returns a responder that passes calls to the handlers.
func New(handlers Handlers) *Responder {
	return &Responder{
		Members:        handlers.Members,
		Pledges:        handlers.Pledges,
		Configurations: handlers.Configurations,
		Claims:         handlers.Claims,
		EventSource:    handlers.Events,
		shard:          handlers.Shard,
	}
}

// ownedShard returns a shard, or an error that wraps errs.ErrNotOwner if this daemon
// doesn't own it.
func (r *Responder) ownedShard(name string) (Shard, error) {
	shard, ok := r.shard(name)
	if !ok {
		return nil, fmt.Errorf("%s: %w", name, errs.ErrNotOwner)
	}
	return shard, nil
}

// Adopt implements kumquatv1.Peer.
func (r *Responder) Adopt(ctx context.Context, req *kumquatv1.AdoptRequest) (*kumquatv1.AdoptResponse, error) {
	shard, err := r.ownedShard(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.Adopt(ctx, req)
	return resp, err
}

// Submit implements kumquatv1.Peer.
func (r *Responder) Submit(ctx context.Context, req *kumquatv1.SubmitRequest) (*kumquatv1.SubmitResponse, error) {
	shard, err := r.ownedShard(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.Submit(ctx, req)
	return resp, err
}

// CancelTasks implements kumquatv1.Peer.
func (r *Responder) CancelTasks(ctx context.Context, req *kumquatv1.CancelTasksRequest) (*kumquatv1.CancelTasksResponse, error) {
	shard, err := r.ownedShard(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.CancelTasks(ctx, req)
	return resp, err
}

// ShardStatus implements kumquatv1.Peer.
func (r *Responder) ShardStatus(ctx context.Context, req *kumquatv1.ShardStatusRequest) (*kumquatv1.ShardStatusResponse, error) {
	shard, err := r.ownedShard(req.Shard)
	if err != nil {
		return nil, err
	}
	resp, err := shard.ShardStatus(ctx, req)
	return resp, err
}
