// Package httpstorage is the platform adapter for plain HTTP with JSON.
package httpstorage

import "github.com/wigeontiller/wigeontiller/storage"

// The paths of the platform's HTTP protocol.
const (
	PathGet      = "/table/get"
	PathTransact = "/table/transact"
	PathObjects  = "/objects/"
	PathVMs      = "/vms"
)

// HeaderCall is the header with the ID of a call, which is unique over all nodes. The platform repeats it in the response.
// A response without it is believed on a connection's first call only, and its connection is then closed.
const HeaderCall = "Call-Id"

// GetRequest is the request for rows by key.
type GetRequest struct {
	Keys []string `json:"keys"`
}

// GetReply holds the rows that exist.
type GetReply struct {
	Rows []storage.Row `json:"rows"`
}

// TransactRequest holds writes that apply atomically.
type TransactRequest struct {
	Writes []storage.Write `json:"writes"`
}

// VMsReply holds the list of VMs.
type VMsReply struct {
	VMs []storage.VM `json:"vms"`
}
