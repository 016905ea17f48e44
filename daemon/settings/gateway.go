package settings

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"time"
)

// Gateway are the settings of a daemon that serves routed services on a
// platform that hands out its configuration.
type Gateway struct {
	// ID and Hall name this VM and its data hall.
	ID   string
	Hall string
	// Callers, Readiness and Admin are addresses for HTTP: callers' requests,
	// the balancer's questions, operators' metrics and dump. Peers is for other
	// daemons, over QUIC (UDP).
	Callers   string
	Readiness string
	Admin     string
	Peers     string
	// PeersReachedAt is where other daemons reach Peers, if something stands in
	// between that forwards; "" is Peers itself.
	PeersReachedAt string

	// StoreURL is where the platform's store is.
	StoreURL string

	// KeyAge is how long a key may be used after the configuration that allows
	// it was last confirmed, and a key that is not known refused as wrong.
	KeyAge time.Duration

	// KeyAgeCut is how long known keys may be used if neither the store nor a
	// daemon that reaches it answers; a shorter time than KeyAge means no longer. A key that was
	// withdrawn meanwhile passes for that long.
	KeyAgeCut time.Duration

	// InForceWithin is how soon a changed configuration must be in force.
	InForceWithin time.Duration

	// SessionPause is how long a session rests before it may move to a version
	// in roll-out.
	SessionPause time.Duration

	// RepeatRatio and RepeatSlack bound the repeats that all daemons together
	// send to a service within RepeatWindow.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration

	// ExposureShare and ExposureSlack bound the requests that a new version may
	// get before it is known to be good: a share of its service's, and some more.
	ExposureShare float64
	ExposureSlack float64

	// Regions are the regions of the data halls.
	Regions Regions

	// ColdOverage and ColdSlack are what a server that has just started bears beyond
	// the rate that its service names: a factor, and some requests more.
	ColdOverage float64
	ColdSlack   float64

	// DutiesURL is where the platform takes what one daemon does for all, "" if it takes
	// nothing; Duties are its names of what that is, with commas between them.
	DutiesURL string
	Duties    string
	// DutyLease is how long a daemon holds a duty after it last said so, DutyRate how many
	// calls the platform takes a second from all daemons.
	DutyLease time.Duration
	DutyRate  float64
	// UsageWindow is the length of a window of usage, UsageLate how long after its end it is
	// reported at the latest.
	UsageWindow time.Duration
	UsageLate   time.Duration

	// Grace is how long a stopping daemon has until it is killed.
	Grace time.Duration

	// FirstStart tells that all daemons start for the first time, and nobody calls yet.
	FirstStart bool

	// Processor is the share of a core that this VM has, Link its bandwidth in
	// Mbit/s.
	Processor float64
	Link      float64

	LogLevel string
}

// Capacity is a rough measure of what the VM can carry, which doubles its
// processor and bandwidth at each step: small differences do not count.
func (s *Gateway) Capacity() int {
	return int(math.Log2(max(1, s.Processor*100)) + math.Log2(max(1, s.Link)))
}

// LongestKeyAge is how old the configuration may be at all for known keys to pass.
func (s *Gateway) LongestKeyAge() time.Duration { return max(s.KeyAge, s.KeyAgeCut) }

// keyAgeMargin is taken off the age that the platform allows: a request that
// passed the check a moment ago must not leave after the time is over.
const keyAgeMargin = 250 * time.Millisecond

// sectionDuties has the settings of what one daemon does for all.
const sectionDuties = "duties"

var gatewayOptions = []option[Gateway]{
	{sectionDaemon, "id", "", true, func(s *Gateway, v string) error { return setName(&s.ID, v) }},
	{sectionDaemon, "hall", "", true, func(s *Gateway, v string) error { return setName(&s.Hall, v) }},
	{sectionDaemon, "callers", "", true, func(s *Gateway, v string) error { return setAddr(&s.Callers, v) }},
	{sectionDaemon, "readiness", "", true, func(s *Gateway, v string) error { return setAddr(&s.Readiness, v) }},
	{sectionDaemon, "admin", "", true, func(s *Gateway, v string) error { return setAddr(&s.Admin, v) }},
	{sectionDaemon, "peers", "", true, func(s *Gateway, v string) error { return setAddr(&s.Peers, v) }},
	{sectionDaemon, "peers_reached_at", "", false, setReachedAt},
	{"store", "url", "", true, func(s *Gateway, v string) error { return setURL(&s.StoreURL, v) }},
	{"keys", "usable_for", "5000ms", false, func(s *Gateway, v string) error { return setDuration(&s.KeyAge, v, true) }},
	{"keys", "usable_when_cut", "0s", false, func(s *Gateway, v string) error { return setDuration(&s.KeyAgeCut, v, false) }},
	{"config", "in_force_within", "2000ms", false, func(s *Gateway, v string) error { return setDuration(&s.InForceWithin, v, true) }},
	{"sessions", "pause", "5s", false, func(s *Gateway, v string) error { return setDuration(&s.SessionPause, v, true) }},
	{"repeats", "ratio", "0.5", false, func(s *Gateway, v string) error { return setRatio(&s.RepeatRatio, v) }},
	{"repeats", "slack", "20", false, func(s *Gateway, v string) error { return setRatio(&s.RepeatSlack, v) }},
	{"repeats", "window", "10s", false, func(s *Gateway, v string) error { return setDuration(&s.RepeatWindow, v, true) }},
	{"rollouts", "exposure_share", "0.15", false, func(s *Gateway, v string) error { return setRatio(&s.ExposureShare, v) }},
	{"rollouts", "exposure_slack", "30", false, func(s *Gateway, v string) error { return setRatio(&s.ExposureSlack, v) }},
	{"halls", "regions", "", false, func(s *Gateway, v string) error { return setRegions(&s.Regions, v) }},
	{"cold", "overage", "1", false, func(s *Gateway, v string) error { return setRatio(&s.ColdOverage, v) }},
	{"cold", "slack", "0", false, func(s *Gateway, v string) error { return setRatio(&s.ColdSlack, v) }},
	{sectionDuties, "url", "", false, setDutiesURL},
	{sectionDuties, "names", "", false, func(s *Gateway, v string) error { s.Duties = v; return nil }},
	{sectionDuties, "lease", "3s", false, func(s *Gateway, v string) error { return setDuration(&s.DutyLease, v, true) }},
	{sectionDuties, "rate", "0", false, func(s *Gateway, v string) error { return setRatio(&s.DutyRate, v) }},
	{"usage", "window", "5s", false, func(s *Gateway, v string) error { return setDuration(&s.UsageWindow, v, true) }},
	{"usage", "late", "10s", false, func(s *Gateway, v string) error { return setDuration(&s.UsageLate, v, true) }},
	{"start", "first", "false", false, func(s *Gateway, v string) error { return setSwitch(&s.FirstStart, v) }},
	{"stop", "grace", "8s", false, func(s *Gateway, v string) error { return setDuration(&s.Grace, v, true) }},
	{"vm", "processor", "1", false, func(s *Gateway, v string) error { return setRatio(&s.Processor, v) }},
	{"vm", "link", "1000", false, func(s *Gateway, v string) error { return setRatio(&s.Link, v) }},
	{"log", "level", "info", false, func(s *Gateway, v string) error { return setLevelTo(&s.LogLevel, v) }},
}

// LoadGateway reads a gateway's settings file and reports all of its faults at
// once.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: Unreadable, Err: err}
	}
	return ParseGateway(path, data)
}

// ParseGateway reads a gateway's settings from the contents of a file of that
// name.
func ParseGateway(name string, data []byte) (*Gateway, error) {
	return parse(name, data, gatewayOptions, func(s *Gateway) []error {
		if s.KeyAge > 0 && s.KeyAge <= keyAgeMargin {
			return []error{&KeyError{File: name, Section: "keys", Key: "usable_for", Text: fmt.Sprintf("it must be longer than %v", keyAgeMargin)}}
		}
		if err := checkDuties(name, s); err != nil {
			return []error{err}
		}
		s.KeyAge -= keyAgeMargin
		s.KeyAgeCut = max(0, s.KeyAgeCut-keyAgeMargin)
		if _, ok := s.Regions.ByHall()[s.Hall]; s.Regions != "" && !ok {
			return []error{&KeyError{File: name, Section: "halls", Key: "regions", Text: fmt.Sprintf("this daemon's own data hall %q is not there: add it", s.Hall)}}
		}
		return nil
	})
}

// leastLease is the shortest lease that can be renewed in time.
const leastLease = time.Second

// checkDuties reports settings of duties that do not go together.
func checkDuties(file string, s *Gateway) error {
	switch {
	case s.DutiesURL != "" && s.Duties == "":
		return &KeyError{File: file, Section: sectionDuties, Key: "names", Text: "it is missing: name the duties that the platform takes at the url"}
	case s.DutyLease < leastLease:
		return &KeyError{File: file, Section: sectionDuties, Key: "lease", Text: fmt.Sprintf("it must be %v or longer: a shorter one cannot be renewed in time", leastLease)}
	case s.UsageLate < s.UsageWindow/2:
		return &KeyError{File: file, Section: "usage", Key: "late", Text: "it must be half of a window or longer: daemons that have ended are waited for"}
	}
	return nil
}

// Place is what a running process cannot change about itself.
type Place struct {
	ID, Hall, Callers, Readiness, Admin, Peers, PeersReachedAt, StoreURL, LogLevel string

	InForceWithin time.Duration
	SessionPause  time.Duration
	Capacity      int
	ExposureShare float64
	ExposureSlack float64
	Regions       Regions
	ColdOverage   float64
	ColdSlack     float64

	DutiesURL, Duties string
	DutyLease         time.Duration
	DutyRate          float64
	UsageWindow       time.Duration
	UsageLate         time.Duration
}

// Places returns what a running process cannot change about itself.
func Places(s *Gateway) Place {
	return Place{
		ID: s.ID, Hall: s.Hall, Callers: s.Callers, Readiness: s.Readiness, Admin: s.Admin, Peers: s.Peers, PeersReachedAt: s.PeersReachedAt, StoreURL: s.StoreURL, LogLevel: s.LogLevel,
		InForceWithin: s.InForceWithin, SessionPause: s.SessionPause, Capacity: s.Capacity(),
		ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack,
		Regions: s.Regions, ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack,
		DutiesURL: s.DutiesURL, Duties: s.Duties, DutyLease: s.DutyLease, DutyRate: s.DutyRate, UsageWindow: s.UsageWindow, UsageLate: s.UsageLate,
	}
}

// PeerAddr is where other daemons reach this one.
func (s *Gateway) PeerAddr() string {
	if s.PeersReachedAt != "" {
		return s.PeersReachedAt
	}
	return s.Peers
}

func setReachedAt(s *Gateway, v string) error {
	if v == "" {
		return nil
	}
	return setAddr(&s.PeersReachedAt, v)
}

func setDutiesURL(s *Gateway, v string) error {
	if v == "" {
		return nil
	}
	return setURL(&s.DutiesURL, v)
}

func setSwitch(to *bool, v string) error {
	on, err := strconv.ParseBool(v)
	if err != nil {
		return fmt.Errorf("%q is not true or false", v)
	}
	*to = on
	return nil
}

func setRatio(to *float64, v string) error {
	n, err := strconv.ParseFloat(v, 64)
	if err != nil || n < 0 || n > 1e6 {
		return fmt.Errorf("%q is not a number from 0 up", v)
	}
	*to = n
	return nil
}
