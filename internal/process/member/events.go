package member

import "github.com/kumquatstack/kumquatstack/internal/process/recorder"

const (
	// EventRegistered is recorded when the daemon has created its member record under a lease; fields "incarnation", "lease".
	EventRegistered recorder.Number = 3101
	// EventLeaseLost is recorded when the store shows that the daemon's lease has lapsed or that its member record is gone; field "incarnation".
	EventLeaseLost recorder.Number = 3102
	// EventJoined is recorded when another daemon's member record appears; fields "daemon", "incarnation", "address".
	EventJoined recorder.Number = 3103
	// EventGone is recorded when another daemon's member record disappears; fields "daemon", "incarnation".
	EventGone recorder.Number = 3104
	// EventIdentityClaimed is recorded when another process holds this daemon's name; field "address".
	EventIdentityClaimed recorder.Number = 3105
	// EventKeepAliveFailed is recorded when a keep-alive of the daemon's lease fails; field "cause".
	EventKeepAliveFailed recorder.Number = 3106
	// EventPeerSilent is recorded when a peer stops answering heartbeats; field "daemon".
	EventPeerSilent recorder.Number = 3107
	// EventPeerHeard is recorded when a heartbeat of a peer that was unreachable, or an answer to one, arrives; field "daemon".
	EventPeerHeard recorder.Number = 3108
	// EventClockRefused is recorded when a peer's clock reading is implausible; field "daemon".
	EventClockRefused recorder.Number = 3109
)
