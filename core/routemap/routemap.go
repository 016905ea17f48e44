// Package routemap holds the configuration of routed services as one immutable
// value: which service answers a host and path, under which limits, and which
// organisation a key belongs to. It does not choose servers.
package routemap

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"ladderridge.example/core/autoscaling"
)

// Repeat says whether a request may run more than once.
type Repeat int

// The ways a request may be repeated.
const (
	// Once is a request that runs at most once for each attempt of its caller.
	Once Repeat = iota
	// Repeatable is a request that may run more than once.
	Repeatable
)

// Share is the weight of one service in the split of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route is how requests of one host and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Shares split the requests over services; there is at least one.
	Shares []Share
	Repeat Repeat
	// Streaming answers are series of numbered events, forwarded as they arrive.
	Streaming bool
	// Resumable streams may be continued on another server after the last event
	// received.
	Resumable bool
	// Sticky routes keep a session on one version.
	Sticky bool
	// Anonymous routes need no key.
	Anonymous bool
	// Attempts is the maximum number of servers that one request is sent to.
	Attempts int
	// Timeout is the maximum time for a request, waiting included; 0 is no limit.
	Timeout time.Duration
	// LatencyObjective is the operator's target for the time to the answer, or to
	// the first event of a stream.
	LatencyObjective time.Duration
	// GapObjective is the operator's target for the longest time between two
	// events of a stream.
	GapObjective time.Duration
	// Rank is the priority of the requests: 0 is the most urgent.
	Rank int
	// Cascade lists models from the smallest to the largest; if it is not empty,
	// the router chooses among them.
	Cascade []string
	// Regions lists the regions whose servers may run the requests; an empty list
	// allows all.
	Regions []string
}

// Model is a model that the servers of a service offer.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens, in the operator's unit.
	Cost float64
}

// Service is a pool of interchangeable backend servers.
type Service struct {
	Name string
	// HealthPath is the path of a server's health check.
	HealthPath string
	// MaxConnections is how many connections one server accepts, from all callers
	// together.
	MaxConnections int
	// Slots is how many requests one server works on at once; 0 is unknown.
	Slots int
	// CacheTokens is the size of the prefix cache of one model server, in tokens;
	// 0 is unknown.
	CacheTokens int
	// ColdFor is how long a server is cold after its start. ColdRate is how many
	// requests a second it can work on meanwhile; 0 is no limit.
	ColdFor  time.Duration
	ColdRate float64
	Models   []Model
	// Autoscaling holds the limits and prices by which the number of its servers
	// is scaled.
	Autoscaling autoscaling.Policy
}

// Organisation is a customer with its keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank, if set, overrides the rank of the route.
	Rank *int
	// Regions lists the regions whose servers may run its requests; an empty list
	// allows all.
	Regions []string
}

// Limits bound the size of what callers send and the time that they take for it.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Map is one version of the configuration. It is immutable.
type Map struct {
	// Number is the version number that the operator gave it.
	Number uint64
	Limits Limits

	hosts         map[string][]*Route
	services      map[string]*Service
	keys          map[string]*Organisation
	organisations int
	// regionUsers maps each region that a route or an organisation lists to the names of
	// those that list it.
	regionUsers map[string][]string
}

// Parts are the contents of a Map, for New.
type Parts struct {
	Number        uint64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
}

// New returns the Map of the given parts.
func New(p Parts) *Map {
	m := &Map{
		Number: p.Number, Limits: p.Limits, organisations: len(p.Organisations),
		hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Organisation{},
		regionUsers: map[string][]string{},
	}
	for _, r := range p.Routes {
		host := canonicalHost(r.Host)
		m.hosts[host] = append(m.hosts[host], &r)
		m.indexRegions("route "+r.Name, r.Regions)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range p.Services {
		m.services[s.Name] = &s
	}
	for _, o := range p.Organisations {
		m.indexRegions("organisation "+o.Name, o.Regions)
		for _, key := range o.Keys {
			m.keys[key] = &o
		}
	}
	return m
}

// canonicalHost returns a host in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host with the longest prefix of the path.
func (m *Map) Match(host, path string) (*Route, bool) {
	for _, r := range m.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name, or one with only the name set if the
// configuration has none of that name.
func (m *Map) Service(name string) *Service {
	if s, ok := m.services[name]; ok {
		return s
	}
	return &Service{Name: name}
}

// Services returns all services, sorted by name.
func (m *Map) Services() []*Service {
	return slices.SortedFunc(maps.Values(m.services), func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
}

// NeedsKeys reports whether routes that are not anonymous require a key.
func (m *Map) NeedsKeys() bool { return m.organisations > 0 }

// Organisation returns the organisation that a key belongs to.
func (m *Map) Organisation(key string) (*Organisation, bool) {
	o, ok := m.keys[key]
	return o, ok
}

// Serves reports whether the route sends any of its requests to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Pick chooses the service for a request by its hash, so that all daemons make
// the same choice.
func (r *Route) Pick(hash uint64) string {
	total := 0
	for _, s := range r.Shares {
		total += max(s.Weight, 0)
	}
	if total == 0 {
		return r.Shares[0].Service
	}
	at := int(hash % uint64(total))
	for _, s := range r.Shares {
		if at -= max(s.Weight, 0); at < 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// RankFor returns the rank of an organisation's requests on the route. The
// organisation may be nil.
func (r *Route) RankFor(o *Organisation) int {
	if o != nil && o.Rank != nil {
		return *o.Rank
	}
	return r.Rank
}

// MayRepeat reports whether a request of the route may be sent again although it
// may already have run.
func (r *Route) MayRepeat() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.Repeat == Repeatable
}
