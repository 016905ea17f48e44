package settings

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"time"
)

// Gateway holds the settings of a daemon that serves routed services on a
// platform that distributes its configuration.
type Gateway struct {
	// ID and Hall are the names of this VM and of its data hall.
	ID   string
	Hall string
	// Callers, Readiness and Admin are HTTP listen addresses: for callers'
	// requests, for the load balancer's readiness checks, and for operators'
	// metrics and state dumps. Peers is the QUIC (UDP) listen address for other
	// daemons.
	Callers   string
	Readiness string
	Admin     string
	Peers     string
	// PeersReachedAt is the address at which other daemons reach Peers if a
	// forwarder is between them; "" means Peers itself.
	PeersReachedAt string

	// StoreURL is the URL of the platform's store.
	StoreURL string

	// KeyAge is how long after the configuration was last confirmed a key in it
	// is accepted and a key not in it is rejected as invalid.
	KeyAge time.Duration

	// OutageKeyAge is how long known keys are accepted while neither the store nor
	// a daemon that can reach it answers; a value below KeyAge has no effect. A
	// key that is revoked during such an outage is accepted for that long.
	OutageKeyAge time.Duration

	// InForceWithin is the time within which a changed configuration must take effect.
	InForceWithin time.Duration
	// ReportInterval is the time between two reports of a server to the store.
	ReportInterval time.Duration

	// SessionPause is how long a session must be idle before it may move to a
	// version in roll-out.
	SessionPause time.Duration

	// RepeatRatio and RepeatSlack set the budget of repeats of a service within
	// RepeatWindow, for all daemons together: a ratio of its requests, plus a
	// fixed number. A repeat is a retry or an escalation to a larger model.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration

	// ExposureShare and ExposureSlack limit the requests that a new version gets
	// before it is known to be healthy: a share of the service's requests, plus
	// a fixed number.
	ExposureShare float64
	ExposureSlack float64

	// Regions lists the region of each data hall.
	Regions Regions

	// ColdOverage and ColdSlack define how many requests a cold (recently
	// started) server tolerates: the rate set for its service times ColdOverage,
	// plus ColdSlack requests.
	ColdOverage float64
	ColdSlack   float64

	// FewSlots is the number of slots of a model server up to which its service has few slots:
	// runs are weighed by a price of server time, and the daemons share the pace of its servers.
	FewSlots int

	// DutiesURL is the URL of the platform's interface for duties, which one
	// daemon at a time carries out for all; "" if there is none. Duties are the
	// platform's names of them, separated by commas.
	DutiesURL string
	Duties    string
	// DutyLease is how long a daemon holds a duty after it last renewed its
	// lease. DutyRate is the number of calls per second that the platform accepts
	// from all daemons together.
	DutyLease time.Duration
	DutyRate  float64
	// UsageWindow is the length of a usage window. UsageDeadline is the deadline for
	// its report, counted from the end of the window.
	UsageWindow   time.Duration
	UsageDeadline time.Duration

	// Grace is the time from the stop signal until the daemon is killed.
	Grace time.Duration

	// FirstStart says that all daemons start for the first time and that there
	// are no callers yet.
	FirstStart bool

	// Processor is the number of processor cores of this VM, which may be a
	// fraction. Link is its bandwidth in Mbit/s.
	Processor float64
	Link      float64
	// Memory is the memory of this VM in MB; 0 means that it is not known.
	Memory float64

	// RequestBodies is the most memory in MB that the bodies of all requests take together; 0
	// means a quarter of Memory, or 64 MB if that is not known.
	RequestBodies float64

	LogLevel string
}

// defaultRequestBodies is the default of RequestBodies on a VM of unknown memory, in MB.
const defaultRequestBodies = 64

// RequestBodyBytes returns the most memory that the bodies of all requests take, in bytes.
func (s *Gateway) RequestBodyBytes() int64 {
	mb := s.RequestBodies
	if mb == 0 {
		mb = s.Memory / 4
	}
	if mb == 0 {
		mb = defaultRequestBodies
	}
	return int64(mb * (1 << 20))
}

// Capacity returns a coarse, logarithmic measure of the VM's processor and
// bandwidth, which grows by one as either doubles, so that small differences do
// not count.
func (s *Gateway) Capacity() int {
	return int(math.Log2(max(1, s.Processor*100)) + math.Log2(max(1, s.Link)))
}

// MaxKeyAge returns the age of the configuration beyond which no key is accepted.
func (s *Gateway) MaxKeyAge() time.Duration { return max(s.KeyAge, s.OutageKeyAge) }

// keyAgeMargin is subtracted from the age that the platform allows, so that a
// request that has just passed the check is not forwarded after that age.
const keyAgeMargin = 250 * time.Millisecond

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
	{"keys", "usable_when_cut", "0s", false, func(s *Gateway, v string) error { return setDuration(&s.OutageKeyAge, v, false) }},
	{"config", "in_force_within", "2000ms", false, func(s *Gateway, v string) error { return setDuration(&s.InForceWithin, v, true) }},
	{"servers", "report_interval", "1s", false, func(s *Gateway, v string) error { return setDuration(&s.ReportInterval, v, true) }},
	{"sessions", "pause", "5s", false, func(s *Gateway, v string) error { return setDuration(&s.SessionPause, v, true) }},
	{"repeats", "ratio", "0.5", false, func(s *Gateway, v string) error { return setRatio(&s.RepeatRatio, v) }},
	{"repeats", "slack", "20", false, func(s *Gateway, v string) error { return setRatio(&s.RepeatSlack, v) }},
	{"repeats", "window", "10s", false, func(s *Gateway, v string) error { return setDuration(&s.RepeatWindow, v, true) }},
	{"rollouts", "exposure_share", "0.15", false, func(s *Gateway, v string) error { return setRatio(&s.ExposureShare, v) }},
	{"rollouts", "exposure_slack", "30", false, func(s *Gateway, v string) error { return setRatio(&s.ExposureSlack, v) }},
	{"halls", "regions", "", false, func(s *Gateway, v string) error { return setRegions(&s.Regions, v) }},
	{"cold", "overage", "1", false, func(s *Gateway, v string) error { return setRatio(&s.ColdOverage, v) }},
	{"cold", "slack", "0", false, func(s *Gateway, v string) error { return setRatio(&s.ColdSlack, v) }},
	{"capacity", "few_slots", "16", false, func(s *Gateway, v string) error { return setCount(&s.FewSlots, v) }},
	{sectionDuties, "url", "", false, setDutiesURL},
	{sectionDuties, "names", "", false, func(s *Gateway, v string) error { s.Duties = v; return nil }},
	{sectionDuties, "lease", "3s", false, func(s *Gateway, v string) error { return setDuration(&s.DutyLease, v, true) }},
	{sectionDuties, "rate", "0", false, func(s *Gateway, v string) error { return setRatio(&s.DutyRate, v) }},
	{"usage", "window", "5s", false, func(s *Gateway, v string) error { return setDuration(&s.UsageWindow, v, true) }},
	{"usage", "late", "10s", false, func(s *Gateway, v string) error { return setDuration(&s.UsageDeadline, v, true) }},
	{"start", "first", "false", false, func(s *Gateway, v string) error { return setSwitch(&s.FirstStart, v) }},
	{"stop", "grace", "8s", false, func(s *Gateway, v string) error { return setDuration(&s.Grace, v, true) }},
	{"vm", "processor", "1", false, func(s *Gateway, v string) error { return setRatio(&s.Processor, v) }},
	{"vm", "link", "1000", false, func(s *Gateway, v string) error { return setRatio(&s.Link, v) }},
	{"vm", "memory", "0", false, func(s *Gateway, v string) error { return setRatio(&s.Memory, v) }},
	{"memory", "request_bodies", "0", false, func(s *Gateway, v string) error { return setRatio(&s.RequestBodies, v) }},
	{"log", "level", "info", false, func(s *Gateway, v string) error { return setLevelTo(&s.LogLevel, v) }},
}

// LoadGateway reads a gateway's settings file and reports all of its errors at
// once.
func LoadGateway(path string) (*Gateway, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: Unreadable, Err: err}
	}
	return ParseGateway(path, data)
}

// ParseGateway parses the contents of a gateway's settings file; name is used
// in error messages.
func ParseGateway(name string, data []byte) (*Gateway, error) {
	return parse(name, data, gatewayOptions, func(s *Gateway) []error {
		if s.KeyAge > 0 && s.KeyAge <= keyAgeMargin {
			return []error{&KeyError{File: name, Section: "keys", Key: "usable_for", Text: fmt.Sprintf("must be longer than %v", keyAgeMargin)}}
		}
		if err := checkDuties(name, s); err != nil {
			return []error{err}
		}
		s.KeyAge -= keyAgeMargin
		s.OutageKeyAge = max(0, s.OutageKeyAge-keyAgeMargin)
		if _, ok := s.Regions.ByHall()[s.Hall]; s.Regions != "" && !ok {
			return []error{&KeyError{File: name, Section: "halls", Key: "regions", Text: fmt.Sprintf("the entry of this daemon's own data hall %q is missing: add it", s.Hall)}}
		}
		return nil
	})
}

// minLease is the shortest lease that can be renewed before it expires.
const minLease = time.Second

// checkDuties checks the settings of duties and of usage reports.
func checkDuties(file string, s *Gateway) error {
	switch {
	case s.DutiesURL != "" && s.Duties == "":
		return &KeyError{File: file, Section: sectionDuties, Key: "names", Text: "missing: list the duties that the platform accepts at the url"}
	case s.DutyLease < minLease:
		return &KeyError{File: file, Section: sectionDuties, Key: "lease", Text: fmt.Sprintf("must be %v or longer: a shorter lease expires before it is renewed", minLease)}
	case s.UsageDeadline < s.UsageWindow/2:
		return &KeyError{File: file, Section: "usage", Key: "late", Text: "must be half of the usage window or longer, to wait for the counts of daemons that have stopped"}
	}
	return nil
}

// Static holds the settings that take effect only after a restart.
type Static struct {
	ID, Hall, Callers, Readiness, Admin, Peers, PeersReachedAt, StoreURL, LogLevel string

	InForceWithin  time.Duration
	ReportInterval time.Duration

	SessionPause  time.Duration
	Capacity      int
	ExposureShare float64
	ExposureSlack float64
	Regions       Regions
	ColdOverage   float64
	ColdSlack     float64
	RequestBodies int64

	FewSlots int

	DutiesURL, Duties string
	DutyLease         time.Duration
	DutyRate          float64
	UsageWindow       time.Duration
	UsageDeadline     time.Duration
}

// StaticOf returns the settings that take effect only after a restart.
func StaticOf(s *Gateway) Static {
	return Static{
		ID: s.ID, Hall: s.Hall, Callers: s.Callers, Readiness: s.Readiness, Admin: s.Admin, Peers: s.Peers, PeersReachedAt: s.PeersReachedAt, StoreURL: s.StoreURL, LogLevel: s.LogLevel,
		InForceWithin: s.InForceWithin, ReportInterval: s.ReportInterval, SessionPause: s.SessionPause, Capacity: s.Capacity(),
		ExposureShare: s.ExposureShare, ExposureSlack: s.ExposureSlack,
		Regions: s.Regions, ColdOverage: s.ColdOverage, ColdSlack: s.ColdSlack, RequestBodies: s.RequestBodyBytes(), FewSlots: s.FewSlots,
		DutiesURL: s.DutiesURL, Duties: s.Duties, DutyLease: s.DutyLease, DutyRate: s.DutyRate, UsageWindow: s.UsageWindow, UsageDeadline: s.UsageDeadline,
	}
}

// PeerAddr returns the address at which other daemons reach this one.
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
		return fmt.Errorf("%q is not a number from 0 to 1000000", v)
	}
	*to = n
	return nil
}

func setCount(to *int, v string) error {
	n, err := strconv.Atoi(v)
	if err != nil || n < 0 || n > 1e6 {
		return fmt.Errorf("%q is not a whole number from 0 to 1000000", v)
	}
	*to = n
	return nil
}
