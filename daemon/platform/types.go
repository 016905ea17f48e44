// Package platform is the client of the platform's services: the transactional
// table service, the object store, the list of VMs and the rating service. The
// protocol is HTTP with JSON bodies, described in docs/PLATFORM.md.
package platform

import "time"

// Paths of the platform's HTTP interface.
const (
	PathTable   = "/table"
	PathTxn     = "/table/txn"
	PathObjects = "/objects/"
	PathVMs     = "/vms"
	PathRatings = "/ratings"
)

// Entry is one key of the table service. Version 0 means that the key does not
// exist.
type Entry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Op is one conditional operation of a transaction: if the key has version
// Expect (0: it does not exist), it sets Value or, with Delete, deletes the key.
type Op struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: either all of its operations take effect or none.
type Txn struct {
	Ops []Op `json:"ops"`
}

// TxnResult is the response to a transaction. After a conflict, Entries lists the
// keys whose conditions did not hold, otherwise all keys with their new versions.
type TxnResult struct {
	Entries []Entry `json:"entries"`
}

// Listing is the response to a list call.
type Listing struct {
	Entries []Entry `json:"entries"`
}

// Role is the role of a VM.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VM is an entry of the platform's list of VMs.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Hall string `json:"hall"`
	// Addr is the IP address and port for requests: from callers to entry VMs,
	// and from daemons to engines and services.
	Addr string `json:"addr"`
	// Peer is the UDP address for other daemons; only entry VMs have one.
	Peer string `json:"peer,omitempty"`
	// Admin is the address for operators; only entry VMs have one.
	Admin string `json:"admin,omitempty"`
	// Service is the name of the VM's service; only service VMs have one.
	Service string `json:"service,omitempty"`
	// ChecksFence reports whether an engine checks fences, and so refuses
	// orders with an outdated one.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving reports whether the VM will be shut down soon.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList is the platform's list of VMs.
type VMList struct {
	// Version increases with every change.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Rating is the rating of one answer.
type Rating struct {
	Seq          uint64  `json:"seq"`
	Request      string  `json:"request"`
	Organisation string  `json:"organisation"`
	Kind         string  `json:"kind,omitempty"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	Score        float64 `json:"score"`
}

// Ratings is the response of the rating service.
type Ratings struct {
	Ratings []Rating `json:"ratings"`
}

// Fault describes the faults to inject into one service of the platform
// stand-in, set by its admin call.
type Fault struct {
	// Service is table, objects, vms or ratings.
	Service string `json:"service"`
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMS is the delay of every response, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers is the number of writes that take effect but get no response.
	LoseAnswers int `json:"lose_answers"`
	// RatePerSecond is the rate limit in calls a second; 0 means no limit.
	RatePerSecond float64 `json:"rate_per_s"`
	// LagMS is how far the list of VMs lags behind, in milliseconds.
	LagMS int `json:"lag_ms"`
	// CutHalls lists the data halls from which the service is unreachable. Clients
	// name their data hall in HeaderHall.
	CutHalls []string `json:"cut_halls,omitempty"`
}

// HeaderHall names the client's data hall, so that the stand-in can simulate that
// it is cut off.
const HeaderHall = "Ladderridge-Hall"

// DefaultTimeout is the default timeout of one call to the platform.
const DefaultTimeout = 2 * time.Second
