// Package settings loads and validates a daemon's INI file. docs/OPERATIONS.md
// lists every key.
package settings

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Settings holds the settings of one daemon, read at start.
type Settings struct {
	// ID and Hall are the names of this VM and of its data hall.
	ID   string
	Hall string
	// Callers, Admin and Peers are listen addresses, an IP address and a port:
	// HTTP for callers, HTTP for operators, QUIC (UDP) for other daemons.
	Callers string
	Admin   string
	Peers   string

	// Seeds are the daemons to contact when the platform is unavailable. The
	// file lists them as id@address.
	Seeds []Seed

	PlatformURL     string
	PlatformTimeout time.Duration

	// Certificate, Key and Authority are the PEM files for connections to other
	// daemons; they are reloaded when they change.
	Certificate string
	Key         string
	Authority   string

	// PinKeys are the keys of session tokens: the first one seals new tokens, and
	// any of them opens a token.
	PinKeys [][]byte

	LogLevel string
	// LogJSON selects JSON instead of text as log format.
	LogJSON bool

	// MaxBody is the maximum size of a request's body, in bytes.
	MaxBody int64
	// DefaultDeadline applies to requests without a deadline; MaxDeadline is the
	// longest deadline allowed.
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration

	// RollingOutAge and SteadyAge are the maximum age of the table at which a
	// version of that status is served; 0 means no limit.
	RollingOutAge time.Duration
	SteadyAge     time.Duration

	// StopNotice is how long a stopping daemon still accepts requests while it
	// reports that it is not ready. StopGrace is how long it then waits for
	// requests in flight.
	StopNotice time.Duration
	StopGrace  time.Duration
}

// Seed is the ID and peer address of another daemon.
type Seed struct {
	ID   string
	Addr string
}

// option describes one key of a settings file; set stores its value in an S.
type option[S any] struct {
	section      string
	key          string
	defaultValue string
	required     bool
	set          func(s *S, value string) error
}

const sectionDaemon = "daemon"

// options lists all keys with their default values.
var options = []option[Settings]{
	{sectionDaemon, "id", "", true, func(s *Settings, v string) error { return setName(&s.ID, v) }},
	{sectionDaemon, "hall", "", true, func(s *Settings, v string) error { return setName(&s.Hall, v) }},
	{sectionDaemon, "callers", "", true, func(s *Settings, v string) error { return setAddr(&s.Callers, v) }},
	{sectionDaemon, "admin", "", true, func(s *Settings, v string) error { return setAddr(&s.Admin, v) }},
	{sectionDaemon, "peers", "", true, func(s *Settings, v string) error { return setAddr(&s.Peers, v) }},
	{sectionDaemon, "seeds", "", false, setSeeds},
	{"platform", "url", "", true, func(s *Settings, v string) error { return setURL(&s.PlatformURL, v) }},
	{"platform", "timeout", "2s", false, func(s *Settings, v string) error { return setDuration(&s.PlatformTimeout, v, true) }},
	{"tls", "certificate", "", true, func(s *Settings, v string) error { return setFile(&s.Certificate, v) }},
	{"tls", "key", "", true, func(s *Settings, v string) error { return setFile(&s.Key, v) }},
	{"tls", "authority", "", true, func(s *Settings, v string) error { return setFile(&s.Authority, v) }},
	{"sessions", "pin_keys", "", true, setPinKeys},
	{"log", "level", "info", false, setLevel},
	{"log", "format", "text", false, setFormat},
	{"requests", "max_body", "4194304", false, func(s *Settings, v string) error { return setSize(&s.MaxBody, v) }},
	{"requests", "default_deadline", "60s", false, func(s *Settings, v string) error { return setDuration(&s.DefaultDeadline, v, true) }},
	{"requests", "max_deadline", "10m", false, func(s *Settings, v string) error { return setDuration(&s.MaxDeadline, v, true) }},
	{"table_age", "rolling_out", "15s", false, func(s *Settings, v string) error { return setDuration(&s.RollingOutAge, v, false) }},
	{"table_age", "steady", "0s", false, func(s *Settings, v string) error { return setDuration(&s.SteadyAge, v, false) }},
	{"stop", "notice", "5s", false, func(s *Settings, v string) error { return setDuration(&s.StopNotice, v, false) }},
	{"stop", "grace", "10m", false, func(s *Settings, v string) error { return setDuration(&s.StopGrace, v, false) }},
}

// Load reads a settings file and reports all of its errors at once.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{Op: "load settings", Kind: Unreadable, Err: err}
	}
	return Parse(path, data)
}

// Parse parses the contents of a settings file; name is used in error messages.
func Parse(name string, data []byte) (*Settings, error) {
	return parse(name, data, options, func(s *Settings) []error {
		if s.DefaultDeadline > s.MaxDeadline {
			return []error{&KeyError{File: name, Section: "requests", Key: "default_deadline", Text: "must not be longer than max_deadline"}}
		}
		return nil
	})
}

// parse parses a file according to options, then runs check on the result for
// conditions that involve several keys.
func parse[S any](name string, data []byte, options []option[S], check func(*S) []error) (*S, error) {
	const op = "load settings"
	file, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true, AllowShadows: true, AllowDuplicateShadowValues: true}, data)
	if err != nil {
		return nil, &Error{Op: op, Kind: Unreadable, Err: fmt.Errorf("%s: %w", name, err)}
	}
	errs := unknownKeys(name, file, options)
	s := new(S)
	for _, o := range options {
		if err := o.read(s, file); err != nil {
			errs = append(errs, &KeyError{File: name, Section: o.section, Key: o.key, Text: err.Error()})
		}
	}
	errs = append(errs, check(s)...)
	if len(errs) > 0 {
		return nil, &Error{Op: op, Kind: Invalid, Err: errors.Join(errs...)}
	}
	return s, nil
}

func (o option[S]) read(s *S, file *ini.File) error {
	value := o.defaultValue
	if section, err := file.GetSection(o.section); err == nil && section.HasKey(o.key) {
		values := section.Key(o.key).ValueWithShadows()
		if len(values) > 1 {
			return fmt.Errorf("the key is set %d times: keep one", len(values))
		}
		value = strings.TrimSpace(section.Key(o.key).Value())
	}
	if value == "" && o.required {
		return errors.New("missing: the key is required")
	}
	return o.set(s, value)
}

// unknownKeys reports the sections and keys that are not in options.
func unknownKeys[S any](name string, file *ini.File, options []option[S]) []error {
	var errs []error
	for _, section := range file.Sections() {
		var known []string
		for _, o := range options {
			if o.section == section.Name() {
				known = append(known, o.key)
			}
		}
		if len(known) == 0 && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			errs = append(errs, &KeyError{File: name, Section: section.Name(), Text: "unknown section: the sections are " + strings.Join(sections(options), ", ")})
			continue
		}
		for _, key := range section.Keys() {
			if !slices.Contains(known, key.Name()) {
				errs = append(errs, &KeyError{File: name, Section: section.Name(), Key: key.Name(), Text: "unknown key: the keys are " + strings.Join(known, ", ")})
			}
		}
	}
	return errs
}

func sections[S any](options []option[S]) []string {
	var names []string
	for _, o := range options {
		if !slices.Contains(names, o.section) {
			names = append(names, o.section)
		}
	}
	return names
}

func setName(to *string, v string) error {
	if v == "" || len(v) > 100 || strings.ContainsAny(v, " \t/@") {
		return fmt.Errorf("%q is not a name: use up to 100 characters without space, @ or /", v)
	}
	*to = v
	return nil
}

func setAddr(to *string, v string) error {
	if _, err := netip.ParseAddrPort(v); err != nil {
		return fmt.Errorf("%q is not an address: write an IP address and a port, such as 10.0.0.7:8443", v)
	}
	*to = v
	return nil
}

func setSeeds(s *Settings, v string) error {
	for field := range strings.FieldsSeq(v) {
		id, addr, ok := strings.Cut(field, "@")
		if _, err := netip.ParseAddrPort(addr); !ok || err != nil || id == "" {
			return fmt.Errorf("%q is not a seed: write a daemon's id and its peer address, such as vad-1@10.0.0.7:7443", field)
		}
		s.Seeds = append(s.Seeds, Seed{ID: id, Addr: addr})
	}
	return nil
}

func setURL(to *string, v string) error {
	u, err := url.Parse(v)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return fmt.Errorf("%q is not a URL: write one such as http://10.0.0.1:9000", v)
	}
	*to = strings.TrimSuffix(v, "/")
	return nil
}

func setFile(to *string, v string) error {
	if _, err := os.Stat(v); err != nil {
		return fmt.Errorf("%q cannot be read: create the files with `ladderridge keys`", v)
	}
	*to = v
	return nil
}

func setDuration(to *time.Duration, v string, positive bool) error {
	d, err := time.ParseDuration(v)
	if err != nil || d < 0 || (positive && d == 0) {
		return fmt.Errorf("%q is not a duration: write one such as 500ms, 15s or 10m", v)
	}
	*to = d
	return nil
}

func setSize(to *int64, v string) error {
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil || n < 1 || n > 1<<30 {
		return fmt.Errorf("%q is not a number of bytes from 1 to %d", v, 1<<30)
	}
	*to = n
	return nil
}

// minPinKey is the minimum length of a pin key, in bytes.
const minPinKey = 16

func setPinKeys(s *Settings, v string) error {
	for field := range strings.FieldsSeq(v) {
		key, err := hex.DecodeString(field)
		if err != nil || len(key) < minPinKey {
			return errors.New("a key is not a hexadecimal string of at least 32 digits: create one with `ladderridge keys pin`")
		}
		s.PinKeys = append(s.PinKeys, key)
	}
	return nil
}

func setLevel(s *Settings, v string) error { return setLevelTo(&s.LogLevel, v) }

func setLevelTo(to *string, v string) error {
	if !slices.Contains([]string{"debug", "info", "warn", "error"}, v) {
		return fmt.Errorf("%q is not a level: write debug, info, warn or error", v)
	}
	*to = v
	return nil
}

func setFormat(s *Settings, v string) error {
	if v != "text" && v != "json" {
		return fmt.Errorf("%q is not a format: write text or json", v)
	}
	s.LogJSON = v == "json"
	return nil
}
