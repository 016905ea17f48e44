// Package routemap is the configuration of routed services as one immutable
// value: which service answers a host and path, under which limits, and which
// organisation a key belongs to. It decides nothing about servers.
package routemap

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"ladderridge.example/core/autoscaling"
)

// Repeat says how often a request may run.
type Repeat int

// The ways a request may be repeated.
const (
	// Once is a request that runs at most once for each attempt of its caller.
	Once Repeat = iota
	// Repeatable is a request that may run more than once.
	Repeatable
)

// Share is one service's part of a route's requests.
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
	// Streaming answers are series of numbered events, passed on as they come.
	Streaming bool
	// Resumable streams may be taken up at another server after the last event
	// that arrived.
	Resumable bool
	// Sticky routes keep a session on one version.
	Sticky bool
	// Anonymous routes need no key.
	Anonymous bool
	// Attempts bounds the servers that one request may be sent to.
	Attempts int
	// Limit is the longest that a request may be held; 0 is no limit.
	Limit time.Duration
	// Objective is the time to the answer, or to a stream's first event, that
	// the operator aims at.
	Objective time.Duration
	// Pause is the longest time between two events that keeps a stream in time.
	Pause time.Duration
	// Rank is the urgency, 0 first.
	Rank int
	// Ladder are models from the smallest to the largest; if there are any, the
	// router chooses among them.
	Ladder []string
	// Homes are the regions whose servers may run the requests; none allows all.
	Homes []string
}

// Model is a model that the servers of a service offer.
type Model struct {
	Name string
	// Cost is the price of 1,000 generated tokens, in the operator's unit.
	Cost float64
}

// Service is a pool of backend servers that answer alike.
type Service struct {
	Name string
	// HealthPath answers while a server is well.
	HealthPath string
	// Channels bounds the connections that one server accepts from all callers.
	Channels int
	// Slots is how many requests one server works on; 0 is unknown.
	Slots int
	// CacheTokens is the prompt memory of one model server, in tokens; 0 is unknown.
	CacheTokens int
	// ColdFor is how long a server is cold after its start, ColdRate how many
	// requests a second it then works on; a rate of 0 is no bound.
	ColdFor  time.Duration
	ColdRate float64
	Models   []Model
	// Sizes are the terms on which its servers are ordered.
	Sizes autoscaling.Terms
}

// Organisation is one that holds keys.
type Organisation struct {
	Name string
	Keys []string
	// Rank, if set, goes before the rank of the route.
	Rank *int
	// Homes are the regions whose servers may run its requests; none allows all.
	Homes []string
}

// Limits bound what callers may send and how long they may rest.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderTime  time.Duration
	IdleTime    time.Duration
}

// Map is one version of the configuration. It is never changed.
type Map struct {
	// Number is the version that the operator gave it.
	Number uint64
	Limits Limits

	hosts         map[string][]*Route
	services      map[string]*Service
	keys          map[string]*Organisation
	organisations int
	// homes are all regions that a route or an organisation names, by who does.
	homes map[string][]string
}

// Parts are what a map is made of.
type Parts struct {
	Number        uint64
	Limits        Limits
	Routes        []Route
	Services      []Service
	Organisations []Organisation
}

// New makes a map.
func New(p Parts) *Map {
	m := &Map{
		Number: p.Number, Limits: p.Limits, organisations: len(p.Organisations),
		hosts: map[string][]*Route{}, services: map[string]*Service{}, keys: map[string]*Organisation{},
		homes: map[string][]string{},
	}
	for _, r := range p.Routes {
		host := canonicalHost(r.Host)
		m.hosts[host] = append(m.hosts[host], &r)
		m.noteHomes("route "+r.Name, r.Homes)
	}
	for _, routes := range m.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range p.Services {
		m.services[s.Name] = &s
	}
	for _, o := range p.Organisations {
		m.noteHomes("organisation "+o.Name, o.Homes)
		for _, key := range o.Keys {
			m.keys[key] = &o
		}
	}
	return m
}

// canonicalHost is a host in lower case and without its port.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// Match returns the route of a host whose prefix is the longest that begins
// the path.
func (m *Map) Match(host, path string) (*Route, bool) {
	for _, r := range m.hosts[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by its name, or one that nothing is known of.
func (m *Map) Service(name string) *Service {
	if s, ok := m.services[name]; ok {
		return s
	}
	return &Service{Name: name}
}

// Services returns all services, by name.
func (m *Map) Services() []*Service {
	return slices.SortedFunc(maps.Values(m.services), func(a, b *Service) int { return cmp.Compare(a.Name, b.Name) })
}

// NeedsKeys reports whether routes that are not anonymous want a key.
func (m *Map) NeedsKeys() bool { return m.organisations > 0 }

// Organisation returns the holder of a key.
func (m *Map) Organisation(key string) (*Organisation, bool) {
	o, ok := m.keys[key]
	return o, ok
}

// Serves reports whether the route sends any of its requests to the service.
func (r *Route) Serves(service string) bool {
	return slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service && s.Weight > 0 })
}

// Pick chooses the service for a request by its hash, so that all daemons
// choose alike.
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

// RankFor is the urgency of an organisation's requests on the route.
func (r *Route) RankFor(o *Organisation) int {
	if o != nil && o.Rank != nil {
		return *o.Rank
	}
	return r.Rank
}

// MayRepeat reports whether a request of the route may be sent again after it
// may have run.
func (r *Route) MayRepeat() bool {
	if r.Streaming {
		return r.Resumable
	}
	return r.Repeat == Repeatable
}
