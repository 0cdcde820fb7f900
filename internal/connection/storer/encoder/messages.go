// Package encoder defines the messages of the key-value service's HTTP protocol,
// the JSON mapping of etcd v3. Keys and values are encoded as base64, integers as
// strings. Field names follow the published protocol.
package encoder

// Paths of the protocol. All requests are POST requests.
const (
	PathRange       = "/v3/kv/range"
	PathTransaction = "/v3/kv/txn"
	PathDeleteRange = "/v3/kv/deleterange"
	PathGrant       = "/v3/lease/grant"
	PathKeepAlive   = "/v3/lease/keepalive"
	PathRevoke      = "/v3/lease/revoke"
	PathRevokeOld   = "/v3/kv/lease/revoke"
	PathWatch       = "/v3/watch"
)

// Values of Compare.Result and Compare.Target.
const (
	ResultEqual   = "EQUAL"
	TargetMod     = "MOD"
	TargetCreate  = "CREATE"
	TargetVersion = "VERSION"
)

// TypeDelete is the type of an event that removed a key. Puts have no type.
const TypeDelete = "DELETE"

// CodeNotFound is the Problem code for a lease that doesn't exist.
const CodeNotFound = 5

// CodeResourceExhausted is the Problem code for too many requests.
const CodeResourceExhausted = 8

// A Header is part of every response.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// A KeyValue is one key of the store.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
	Lease          int64  `json:"lease,omitempty,string"`
}

// A RangeRequest reads the keys in [Key, RangeEnd), or Key alone.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// A RangeResponse lists keys in ascending order.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// A Compare is one condition of a transaction.
type Compare struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	ModRevision    int64  `json:"mod_revision,omitempty,string"`
	CreateRevision int64  `json:"create_revision,omitempty,string"`
	Version        int64  `json:"version,omitempty,string"`
}

// A PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
	Lease int64  `json:"lease,omitempty,string"`
}

// A DeleteRangeRequest removes the keys in [Key, RangeEnd), or Key alone.
type DeleteRangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
}

// A DeleteRangeResponse reports how many keys were removed.
type DeleteRangeResponse struct {
	Header  Header `json:"header"`
	Deleted int64  `json:"deleted,omitempty,string"`
}

// A RequestOp is one operation of a transaction. Exactly one field is set.
type RequestOp struct {
	Put         *PutRequest         `json:"request_put,omitempty"`
	DeleteRange *DeleteRangeRequest `json:"request_delete_range,omitempty"`
}

// A TransactionRequest applies the operations of Success if all conditions hold.
type TransactionRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []RequestOp `json:"success,omitempty"`
}

// A TransactionResponse reports whether the conditions held.
type TransactionResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// A GrantRequest creates a lease. Its TTL is in seconds.
type GrantRequest struct {
	TTL int64 `json:"TTL,string"`
}

// A LeaseRequest renews or revokes a lease.
type LeaseRequest struct {
	ID int64 `json:"ID,string"`
}

// A LeaseResponse describes a lease. The TTL, in seconds, is zero if the lease has
// lapsed.
type LeaseResponse struct {
	Header Header `json:"header"`
	ID     int64  `json:"ID,omitempty,string"`
	TTL    int64  `json:"TTL,omitempty,string"`
}

// A KeepAliveResponse is one message of the keep-alive stream.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// A WatchRequest starts a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// A WatchCreate selects the keys and the first revision to watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,omitempty,string"`
}

// A WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
	Error  *Problem    `json:"error,omitempty"`
}

// A WatchResult reports changes or the state of the watch.
type WatchResult struct {
	Header          Header  `json:"header"`
	Created         bool    `json:"created,omitempty"`
	Canceled        bool    `json:"canceled,omitempty"`
	CompactRevision int64   `json:"compact_revision,omitempty,string"`
	CancelReason    string  `json:"cancel_reason,omitempty"`
	Events          []Event `json:"events,omitempty"`
}

// An Event is one change.
type Event struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// A Problem is the body of a response with a status other than 200.
type Problem struct {
	Error   string `json:"error,omitempty"`
	Code    int    `json:"code"`
	Message string `json:"message"`
}
