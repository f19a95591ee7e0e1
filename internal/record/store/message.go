package store

// The messages of the v3 key-value API in its published JSON form. Keys and
// values travel as base64, 64-bit numbers as strings.

// Header stands in each answer.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one entry.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
	Lease          int64  `json:"lease,string,omitempty"`
}

// RangeRequest asks for key <= k < range_end.
type RangeRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end,omitempty"`
	Limit    int64  `json:"limit,string,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
}

// CompareMessage is one condition of a transaction.
type CompareMessage struct {
	Result         string `json:"result"`
	Target         string `json:"target"`
	Key            []byte `json:"key"`
	CreateRevision int64  `json:"create_revision,string,omitempty"`
	ModRevision    int64  `json:"mod_revision,string,omitempty"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Operation is one step of a transaction; exactly one field is set.
type Operation struct {
	Put    *PutRequest    `json:"requestPut,omitempty"`
	Delete *DeleteRequest `json:"requestDeleteRange,omitempty"`
}

// TxnRequest is a transaction.
type TxnRequest struct {
	Compare []CompareMessage `json:"compare,omitempty"`
	Success []Operation      `json:"success,omitempty"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// LeaseMessage grants, renews or revokes a lease and answers those calls.
type LeaseMessage struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse answers a renewal; TTL 0 says that the lease is gone.
type KeepAliveResponse struct {
	Result LeaseMessage `json:"result"`
}

// WatchCreate opens a watch.
type WatchCreate struct {
	Key           []byte `json:"key"`
	RangeEnd      []byte `json:"range_end,omitempty"`
	StartRevision int64  `json:"start_revision,string,omitempty"`
}

// WatchRequest wraps WatchCreate.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is one message of a watch's stream.
type WatchResult struct {
	Header          Header       `json:"header"`
	Created         bool         `json:"created,omitempty"`
	Canceled        bool         `json:"canceled,omitempty"`
	CompactRevision int64        `json:"compact_revision,string,omitempty"`
	Events          []WatchEvent `json:"events,omitempty"`
}

// WatchResponse wraps WatchResult.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}

// Names used inside the messages.
const (
	TargetCreate = "CREATE"
	TargetMod    = "MOD"
	ResultEqual  = "EQUAL"
	EventDelete  = "DELETE"
)
