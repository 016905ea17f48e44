package settings_test

import (
	"strings"
	"testing"
	"time"

	"ladderridge.example/daemon/settings"
)

const gatewayFile = `[daemon]
id = entry-1
hall = h
callers = 10.0.0.1:1
readiness = 10.0.0.1:2
admin = 10.0.0.1:3
peers = 10.0.0.1:4
[store]
url = http://10.0.0.9:5
[keys]
usable_for = 5000ms
[vm]
processor = 0.4
link = 1000.0
`

func TestParseGateway(t *testing.T) {
	s, err := settings.ParseGateway("f", []byte(gatewayFile))
	if err != nil {
		t.Fatal(err)
	}
	if s.KeyAge >= 5*time.Second || s.KeyAge < 4*time.Second || s.Processor != 0.4 || s.Grace <= 0 {
		t.Errorf("%+v", s)
	}
	if s.MaxKeyAge() != s.KeyAge {
		t.Errorf("keys are accepted for %v during an outage, %v otherwise", s.MaxKeyAge(), s.KeyAge)
	}
	cut, err := settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", "usable_when_cut = 30s\n[vm]", 1)))
	if err != nil || cut.KeyAge != s.KeyAge || cut.MaxKeyAge() < 29*time.Second || cut.MaxKeyAge() >= 30*time.Second {
		t.Errorf("%v, %+v", err, cut)
	}
	first, err := settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", "[start]\nfirst = true\n[vm]", 1)))
	if err != nil || !first.FirstStart || s.FirstStart {
		t.Errorf("%v, %+v", err, first)
	}
	few, err := settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", "[capacity]\nfew_slots = 8\n[vm]", 1)))
	if err != nil || few.FewSlots != 8 || s.FewSlots != 16 {
		t.Errorf("%v, %+v", err, few)
	}
	strong := *s
	strong.Link, strong.Processor = 10000, 4
	if strong.Capacity() <= s.Capacity() {
		t.Error("a larger VM has no higher capacity")
	}
	for keys, want := range map[string]int64{"": 64 << 20, "memory = 144\n": 36 << 20, "memory = 144\n[memory]\nrequest_bodies = 10\n": 10 << 20} {
		if s, err := settings.ParseGateway("f", []byte(gatewayFile+keys)); err != nil || s.RequestBodyBytes() != want {
			t.Errorf("%q: %v, %+v", keys, err, s)
		}
	}
}

func TestParseGatewayReportsAllErrors(t *testing.T) {
	bad := strings.NewReplacer("10.0.0.1:1", "nowhere", "5000ms", "soon", "[vm]", "[start]\nfirst = perhaps\n[capacity]\nfew_slots = -1\n[vm]\nspeed = 1", "id = entry-1\n", "").Replace(gatewayFile)
	_, err := settings.ParseGateway("f", []byte(bad))
	if err == nil {
		t.Fatal("no error was reported")
	}
	for _, want := range []string{"callers", "usable_for", "first", "few_slots", "speed", "id"} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("%q is not reported: %v", want, err)
		}
	}
}

func TestParseGatewayRegions(t *testing.T) {
	with := func(regions string) (*settings.Gateway, error) {
		return settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", "[halls]\nregions = "+regions+"\n[cold]\noverage = 1.5\nslack = 5\n[vm]", 1)))
	}
	s, err := with("h:west, g:east")
	if err != nil || s.Regions.ByHall()["h"] != "west" || s.Regions.ByHall()["g"] != "east" || s.ColdOverage != 1.5 || s.ColdSlack != 5 {
		t.Errorf("%v: %+v", err, s)
	}
	for regions, want := range map[string]string{"h": "HALL:REGION", "h:": "HALL:REGION", "h:west,h:east": "twice", "g:west": "own data hall"} {
		if _, err := with(regions); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", regions, err)
		}
	}
}

const dutySettings = `[duties]
url = http://10.0.0.8:9
names = usage_report,autoscale
lease = 3000ms
rate = 50
[usage]
window = 5s
late = 10s
[vm]`

func TestParseGatewayDuties(t *testing.T) {
	s, err := settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", dutySettings, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if s.DutiesURL != "http://10.0.0.8:9" || s.Duties != "usage_report,autoscale" || s.DutyLease != 3*time.Second || s.DutyRate != 50 || s.UsageWindow != 5*time.Second || s.UsageDeadline != 10*time.Second {
		t.Errorf("%+v", s)
	}
	none, err := settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", "[duties]\n\n[usage]\n[vm]", 1)))
	if err != nil || none.DutiesURL != "" {
		t.Errorf("platform without duties: %v, %q", err, none.DutiesURL)
	}
}

func TestParseGatewayRejectsInvalidDuties(t *testing.T) {
	for was, want := range map[string]string{
		"names = usage_report,autoscale": "names", "lease = 3000ms": "lease", "rate = 50": "rate", "window = 5s": "window", "late = 10s": "late",
	} {
		key, _, _ := strings.Cut(was, " ")
		bad := map[string]string{"names": "names =", "lease": "lease = 10ms", "rate": "rate = -1", "window": "window = 0s", "late": "late = 1s"}[key]
		_, err := settings.ParseGateway("f", []byte(strings.Replace(gatewayFile, "[vm]", strings.Replace(dutySettings, was, bad, 1), 1)))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v", bad, err)
		}
	}
}
