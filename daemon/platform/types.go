// Package platform speaks to the platform's services: the transactional table
// service, the object store, the list of VMs and the rating service. The
// protocol is HTTP with JSON bodies; docs/PLATFORM.md describes it.
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

// Entry is one key of the table service. Version 0 means that it is absent.
type Entry struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value,omitempty"`
}

// Op is one conditional operation of a transaction: if the key is at version
// Expect (0: absent), put Value, or delete the key.
type Op struct {
	Key    string `json:"key"`
	Expect uint64 `json:"expect"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Txn is a transaction: all of its operations take effect or none.
type Txn struct {
	Ops []Op `json:"ops"`
}

// TxnResult answers a transaction. With a conflict, Entries are the keys whose
// conditions did not hold; otherwise all keys with their new versions.
type TxnResult struct {
	Entries []Entry `json:"entries"`
}

// Listing answers a list by prefix.
type Listing struct {
	Entries []Entry `json:"entries"`
}

// Role is what a VM is for.
type Role string

// The roles of VMs.
const (
	RoleEntry   Role = "entry"
	RoleEngine  Role = "engine"
	RoleService Role = "service"
)

// VM is one VM of the platform's list.
type VM struct {
	ID   string `json:"id"`
	Role Role   `json:"role"`
	Hall string `json:"hall"`
	// Addr is where callers, or for engines and services the daemons, reach
	// it: an IP number and a port.
	Addr string `json:"addr"`
	// Peer is the UDP address for other daemons; only entry VMs have one.
	Peer string `json:"peer,omitempty"`
	// Admin is the address for operators; only entry VMs have one.
	Admin string `json:"admin,omitempty"`
	// Service is the plain service's name; only service VMs have one.
	Service string `json:"service,omitempty"`
	// ChecksFence tells that an engine refuses orders with an old fence.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// Leaving VMs will be gone soon.
	Leaving bool `json:"leaving,omitempty"`
}

// VMList is the list as the platform last knew it.
type VMList struct {
	// Version grows with every change.
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Rating is one rated answer.
type Rating struct {
	Seq          uint64  `json:"seq"`
	Request      string  `json:"request"`
	Organisation string  `json:"organisation"`
	Kind         string  `json:"kind,omitempty"`
	Model        string  `json:"model"`
	Version      string  `json:"version"`
	Score        float64 `json:"score"`
}

// Ratings answers a read of the rating service.
type Ratings struct {
	Ratings []Rating `json:"ratings"`
}

// Fault is what the admin call of the platform stand-in sets for one service.
type Fault struct {
	// Service is table, objects, vms or ratings.
	Service string `json:"service"`
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMS delays every answer, in milliseconds.
	SlowMS int `json:"slow_ms"`
	// LoseAnswers drops the answers of that many writes after their effect.
	LoseAnswers int `json:"lose_answers"`
	// RatePerSecond bounds the calls a second; 0 is no bound.
	RatePerSecond float64 `json:"rate_per_s"`
	// LagMS is how old the VM list is, in milliseconds.
	LagMS int `json:"lag_ms"`
	// CutHalls cannot reach the service; daemons name their data hall.
	CutHalls []string `json:"cut_halls,omitempty"`
}

// HeaderHall names the caller's data hall, so that a stand-in can cut it off.
const HeaderHall = "Ladderridge-Hall"

// DefaultTimeout bounds one call to the platform.
const DefaultTimeout = 2 * time.Second
