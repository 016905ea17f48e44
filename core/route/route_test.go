package route_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
)

var (
	now = time.Unix(1_800_000_000, 0)
	v1  = table.Ref{Model: "roster", Version: "v1"}
	v2  = table.Ref{Model: "roster", Version: "v2"}
	big = table.Ref{Model: "large", Version: "v1"}
)

func server(id, hall string, load int) *route.Server {
	s := &route.Server{ID: id, Hall: hall, State: &route.ServerState{}}
	s.State.InFlight.Store(int64(load))
	return s
}

// build makes a view in which organisation o may use the given versions.
func build(versions ...table.Version) *route.View {
	t := table.Table{Organisations: []table.Organisation{{Name: "o"}}, Versions: versions}
	v := &route.View{Hall: "a", ConfirmedAt: now, Engines: map[table.Ref][]*route.Server{}, Ages: route.Ages{RollingOut: 15 * time.Second}}
	for _, ver := range versions {
		t.Allows = append(t.Allows, table.Allow{Organisation: "o", Ref: ver.Ref, Status: ver.Status, Weight: 1, Target: 0.8})
		v.Engines[ver.Ref] = []*route.Server{server(ver.Ref.String()+"-1", "a", 0), server(ver.Ref.String()+"-2", "a", 0)}
	}
	v.Table = table.New(t)
	return v
}

func request(v *route.View, model, id string) route.Request {
	return route.Request{ID: id, Tenant: v.Table.Tenant("o"), Model: model, Seed: 1}
}

func sent(t *testing.T, v *route.View, r route.Request) table.Ref {
	t.Helper()
	d := route.Decide(v, r, now)
	out, ok := d.Outcome.(route.Send)
	if !ok {
		t.Fatalf("refused: %+v", d.Outcome)
	}
	return out.Ref
}

func refusal(t *testing.T, v *route.View, r route.Request) route.Code {
	t.Helper()
	out, ok := route.Decide(v, r, now).Outcome.(route.Refuse)
	if !ok {
		t.Fatal("not refused")
	}
	return out.Code
}

func TestCheapestModelAtTargetIsChosen(t *testing.T) {
	v := build(table.Version{Ref: v1, Price: 10, Quality: 0.85}, table.Version{Ref: big, Price: 50, Quality: 0.95})
	if got := sent(t, v, request(v, route.Auto, "r")); got != v1 {
		t.Errorf("sent to %s, want the cheaper one that reaches the target", got)
	}
	v.Quality = map[route.QualityKey]route.Estimate{{Organisation: "o", Ref: v1}: {Low: 0.7, High: 0.75}}
	if got := sent(t, v, request(v, route.Auto, "r")); got != big {
		t.Errorf("rated below the target, sent to %s", got)
	}
	v.Quality[route.QualityKey{Organisation: "o", Ref: big}] = route.Estimate{Low: 0.75, High: 0.78}
	if got := sent(t, v, request(v, route.Auto, "r")); got != big {
		t.Errorf("with none at the target, sent to %s, want the best", got)
	}
}

func TestSplitsFollowStageAndWeights(t *testing.T) {
	v := build(table.Version{Ref: v1}, table.Version{Ref: v2, Status: table.RollingOut, Stages: []float64{5, 25}, Stage: 1})
	n := 0
	for i := range 10_000 {
		if sent(t, v, request(v, "roster", fmt.Sprint(i))) == v2 {
			n++
		}
	}
	if n < 2300 || n > 2700 {
		t.Errorf("a stage of 25%% got %d of 10000 sessions", n)
	}
}

func TestRefusalsAndTheirCodes(t *testing.T) {
	for name, c := range map[string]struct {
		change func(v *route.View, r *route.Request)
		want   route.Code
	}{
		"unknown model":    {func(_ *route.View, r *route.Request) { r.Model = "other" }, route.ModelNotAllowed},
		"unknown version":  {func(_ *route.View, r *route.Request) { r.Model = "roster@v9" }, route.ModelNotAllowed},
		"no servers":       {func(v *route.View, _ *route.Request) { clear(v.Engines) }, route.NoCapacity},
		"all leaving":      {func(v *route.View, _ *route.Request) { markAllLeaving(v) }, route.NoCapacity},
		"all tried":        {func(_ *route.View, r *route.Request) { r.Avoid = []string{"roster@v1-1", "roster@v1-2"} }, route.NoCapacity},
		"paused":           {func(v *route.View, _ *route.Request) { v.PublishedAt = now.Add(-time.Minute) }, route.StaleConfig},
		"unconfirmed":      {func(v *route.View, _ *route.Request) { v.Unconfirmed = true }, route.StaleConfig},
		"too old":          {func(v *route.View, _ *route.Request) { v.ConfirmedAt, v.Ages.Steady = now.Add(-time.Hour), time.Minute }, route.StaleConfig},
		"pinned elsewhere": {func(_ *route.View, r *route.Request) { r.Pin = v2 }, route.SessionVersionGone},
	} {
		v := build(table.Version{Ref: v1, Quality: 0.9})
		r := request(v, "roster", "r")
		c.change(v, &r)
		if got := refusal(t, v, r); got != c.want {
			t.Errorf("%s: refused with %s, want %s", name, got, c.want)
		}
	}
}

func markAllLeaving(v *route.View) {
	for _, servers := range v.Engines {
		for _, s := range servers {
			s.Leaving = true
		}
	}
}

func TestStaleTableExcludesRollOutsFirst(t *testing.T) {
	v := build(table.Version{Ref: v1}, table.Version{Ref: v2, Status: table.RollingOut, Stages: []float64{100}})
	if got := sent(t, v, request(v, "roster", "r")); got != v2 {
		t.Fatalf("at a stage of 100%% sent to %s", got)
	}
	v.ConfirmedAt = now.Add(-16 * time.Second)
	if got := sent(t, v, request(v, "roster", "r")); got != v1 {
		t.Errorf("with a table 16 s old, sent to %s", got)
	}
}

func TestGuardedVersionKeepsItsSessionsButGetsNoNewOnes(t *testing.T) {
	v := build(table.Version{Ref: v1}, table.Version{Ref: v2, Status: table.RollingOut, Stages: []float64{100}})
	v.Guarded = map[table.Ref]string{v2: "bad"}
	if got := sent(t, v, request(v, "roster", "r")); got != v1 {
		t.Errorf("sent to the guarded version %s", got)
	}
	r := request(v, "roster", "r")
	r.Pin = v2
	if got := sent(t, v, r); got != v2 {
		t.Errorf("a session was moved from %s to %s", v2, got)
	}
}

func TestReportedLoadIsCorrectedByRequestsSentSince(t *testing.T) {
	v := build(table.Version{Ref: v1})
	a, b := v.Engines[v1][0], v.Engines[v1][1]
	// Both servers reported 10 requests; this daemon has sent 8 more to a since.
	a.Reported, b.Reported = 10, 10
	a.State.InFlight.Store(8)
	if a.Estimate() != 18 || b.Estimate() != 10 {
		t.Fatalf("estimates are %d and %d, want 18 and 10", a.Estimate(), b.Estimate())
	}
	d := route.Decide(v, request(v, "roster", "r"), now)
	if out := d.Outcome.(route.Send); out.Server != b {
		t.Errorf("sent to %s, want the less loaded %s", out.Server.ID, b.ID)
	}
}

func TestOtherHallsTakeRequestsOnlyWhenOwnHallIsFull(t *testing.T) {
	v := build(table.Version{Ref: v1})
	far := server("far", "b", 0)
	v.Engines[v1] = append(v.Engines[v1], far)
	for range 20 {
		if out := route.Decide(v, request(v, "roster", "r"), now).Outcome.(route.Send); out.Server == far {
			t.Fatal("sent to another data hall while the own one has room")
		}
	}
	for _, s := range v.Engines[v1][:2] {
		s.Capacity = 4
		s.State.InFlight.Store(4)
	}
	if out := route.Decide(v, request(v, "roster", "r"), now).Outcome.(route.Send); out.Server != far {
		t.Errorf("with the own data hall full, sent to %s", out.Server.ID)
	}
}

// TestDecideAgainstOracle draws tables, views and requests and checks each
// decision with an oracle: a request that is sent passes the gate, its version is
// allowed, not withdrawn and the pinned one if there is a pin, new sessions avoid
// guarded versions where there is another choice, and the server is not leaving.
func TestDecideAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkDecision(t, route.Decide) })
}

type decideFunc func(*route.View, route.Request, time.Time) route.Decision

// reporter receives the failures that the oracle finds.
type reporter interface{ Fatalf(string, ...any) }

// draws is the number of decisions in one case of a property.
const draws = 20

func checkDecision(t *rapid.T, f decideFunc) {
	for range draws {
		v, r := drawView(t)
		checkOracle(t, v, r, f(v, r, now))
	}
}

func drawView(t *rapid.T) (*route.View, route.Request) {
	var versions []table.Version
	statuses := []table.Status{table.Steady, table.RollingOut, table.Retiring, table.Withdrawn}
	for m := range rapid.IntRange(1, 3).Draw(t, "models") {
		for n := range rapid.IntRange(1, 3).Draw(t, "versions") {
			versions = append(versions, table.Version{
				Ref:    table.Ref{Model: fmt.Sprint("m", m), Version: fmt.Sprint("v", n)},
				Status: rapid.SampledFrom(statuses).Draw(t, "status"),
				Price:  int64(rapid.IntRange(1, 9).Draw(t, "price")), Quality: rapid.Float64Range(0, 1).Draw(t, "quality"),
				Stages: []float64{rapid.Float64Range(0, 100).Draw(t, "share")},
			})
		}
	}
	v := build(versions...)
	v.ConfirmedAt = now.Add(-time.Duration(rapid.IntRange(0, 30).Draw(t, "age")) * time.Second)
	v.Guarded = map[table.Ref]string{}
	for _, ver := range versions {
		if rapid.IntRange(0, 4).Draw(t, "guarded") == 0 {
			v.Guarded[ver.Ref] = "bad"
		}
		for _, s := range v.Engines[ver.Ref] {
			s.Leaving = rapid.IntRange(0, 2).Draw(t, "leaving") == 0
		}
	}
	models := []string{route.Auto, "m0", "m1", "m9", "m0@v0", "m1@v1"}
	r := request(v, rapid.SampledFrom(models).Draw(t, "model"), rapid.StringN(1, 8, 8).Draw(t, "id"))
	r.Seed, r.Prefix = rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "prefix")
	if rapid.Bool().Draw(t, "pinned") {
		r.Pin = rapid.SampledFrom(versions).Draw(t, "pin").Ref
	}
	return v, r
}

// otherChoice reports whether a request can be sent to a version that is not guarded.
func otherChoice(v *route.View, r route.Request) bool {
	for _, ver := range v.Table.Versions {
		ref := ver.Ref
		asked := r.Model == route.Auto || r.Model == ref.Model || r.Model == ref.String()
		fresh := ver.Status == table.Steady || (ver.Status == table.RollingOut && v.Age(now) <= 15*time.Second)
		served := false
		for _, s := range v.Engines[ref] {
			served = served || !s.Leaving
		}
		if asked && fresh && served && v.Guarded[ref] == "" {
			return true
		}
	}
	return false
}

func checkOracle(t reporter, v *route.View, r route.Request, d route.Decision) {
	out, ok := d.Outcome.(route.Send)
	if !ok {
		return
	}
	ver, known := v.Table.Version(out.Ref)
	switch {
	case !known:
		t.Fatalf("%s is not in the table", out.Ref)
	case ver.Status == table.Withdrawn:
		t.Fatalf("%s has been withdrawn", out.Ref)
	case r.Pin != (table.Ref{}) && out.Ref != r.Pin:
		t.Fatalf("a session was moved from %s to %s", r.Pin, out.Ref)
	case r.Pin == (table.Ref{}) && ver.Status == table.Retiring:
		t.Fatalf("%s takes no new sessions", out.Ref)
	case r.Pin == (table.Ref{}) && v.Guarded[out.Ref] != "" && (ver.Status != table.Steady || otherChoice(v, r)):
		t.Fatalf("%s is guarded", out.Ref)
	case ver.Status == table.RollingOut && v.Age(now) > 15*time.Second:
		t.Fatalf("%s is rolling out and the table is %v old", out.Ref, v.Age(now))
	case out.Server.Leaving:
		t.Fatalf("%s is leaving", out.Server.ID)
	case r.Pin == (table.Ref{}) && r.Model != route.Auto && r.Model != out.Ref.Model && r.Model != out.Ref.String():
		t.Fatalf("asked for %s, sent to %s", r.Model, out.Ref)
	}
	if err := route.Gate(v, "o", out.Ref, out.Server.ID, r.Pin != (table.Ref{}), now); err != nil {
		t.Fatalf("the gate refuses what was decided: %v", err)
	}
}

// TestOracleDetectsFaults makes faulty decisions of one sort at a time and checks
// that the oracle detects each sort.
func TestOracleDetectsFaults(t *testing.T) {
	broken := map[string]decideFunc{
		"ignores withdrawal": func(v *route.View, r route.Request, at time.Time) route.Decision {
			w := withStatus(v, table.Steady)
			r.Tenant = w.Table.Tenant("o")
			return route.Decide(w, r, at)
		},
		"ignores the pin": func(v *route.View, r route.Request, at time.Time) route.Decision {
			r.Pin = table.Ref{}
			return route.Decide(v, r, at)
		},
		"ignores age": func(v *route.View, r route.Request, at time.Time) route.Decision {
			w := *v
			w.ConfirmedAt = at
			return route.Decide(&w, r, at)
		},
		"ignores the guard": func(v *route.View, r route.Request, at time.Time) route.Decision {
			w := *v
			w.Guarded = nil
			return route.Decide(&w, r, at)
		},
		"ignores leaving servers": func(v *route.View, r route.Request, at time.Time) route.Decision {
			w := *v
			w.Engines = map[table.Ref][]*route.Server{}
			for ref, servers := range v.Engines {
				for _, s := range servers {
					other := *s
					other.Leaving = false
					w.Engines[ref] = append(w.Engines[ref], &other)
				}
			}
			d := route.Decide(&w, r, at)
			return withOriginalServer(v, d)
		},
		"ignores the model": func(v *route.View, r route.Request, at time.Time) route.Decision {
			r.Model = route.Auto
			return route.Decide(v, r, at)
		},
	}
	for name, f := range broken {
		caught := &failureCounter{}
		rapid.Check(t, func(t *rapid.T) {
			for range draws {
				v, r := drawView(t)
				checkOracle(caught, v, r, f(v, r, now))
			}
		})
		if caught.n == 0 {
			t.Errorf("a decision that %s passes the oracle", name)
		}
	}
}

// failureCounter counts the failures that the oracle finds.
type failureCounter struct{ n int }

func (c *failureCounter) Fatalf(string, ...any) { c.n++ }

func withStatus(v *route.View, s table.Status) *route.View {
	w := *v
	changed := table.Table{Organisations: v.Table.Organisations}
	for _, ver := range v.Table.Versions {
		ver.Status = s
		changed.Versions = append(changed.Versions, ver)
	}
	for _, a := range v.Table.Allows {
		a.Status = s
		changed.Allows = append(changed.Allows, a)
	}
	w.Table = table.New(changed)
	return &w
}

// withOriginalServer replaces the server of a decision that was made on copies by the original.
func withOriginalServer(v *route.View, d route.Decision) route.Decision {
	if out, ok := d.Outcome.(route.Send); ok {
		for _, s := range v.Engines[out.Ref] {
			if s.ID == out.Server.ID {
				out.Server = s
			}
		}
		d.Outcome = out
	}
	return d
}

func TestGateRefusesWhatChangedSinceTheDecision(t *testing.T) {
	v := build(table.Version{Ref: v1})
	if err := route.Gate(v, "o", v1, "roster@v1-1", false, now); err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		view   *route.View
		pinned bool
		want   route.Code
	}{
		"withdrawn":         {build(table.Version{Ref: v1, Status: table.Withdrawn}), true, route.VersionWithdrawn},
		"retiring, new":     {build(table.Version{Ref: v1, Status: table.Retiring}), false, route.VersionWithdrawn},
		"no longer allowed": {build(table.Version{Ref: v2}), true, route.ModelNotAllowed},
	} {
		if err := route.Gate(c.view, "o", v1, "roster@v1-1", c.pinned, now); !fault.Is(err, c.want) {
			t.Errorf("%s: the gate returns %v, want %s", name, err, c.want)
		}
	}
	if err := route.Gate(build(table.Version{Ref: v1, Status: table.Retiring}), "o", v1, "roster@v1-1", true, now); err != nil {
		t.Errorf("a session of a retiring version is refused: %v", err)
	}
	markAllLeaving(v)
	if err := route.Gate(v, "o", v1, "roster@v1-1", false, now); !fault.Is(err, route.ServerLeaving) {
		t.Errorf("for a leaving server the gate returns %v", err)
	}
}

func benchmarkDecide(b *testing.B, rows int) {
	t := table.Table{Organisations: []table.Organisation{{Name: "o"}}}
	refs := []table.Ref{v1, v2, big}
	for _, ref := range refs {
		t.Versions = append(t.Versions, table.Version{Ref: ref, Price: 1, Quality: 0.9})
		t.Allows = append(t.Allows, table.Allow{Organisation: "o", Ref: ref, Weight: 1, Target: 0.8})
	}
	for i := range rows - len(refs) {
		name := fmt.Sprint("other-", i)
		t.Organisations = append(t.Organisations, table.Organisation{Name: name})
		t.Allows = append(t.Allows, table.Allow{Organisation: name, Ref: v1, Weight: 1})
	}
	v := &route.View{Table: table.New(t), Hall: "a", ConfirmedAt: now, Engines: map[table.Ref][]*route.Server{}}
	for _, ref := range refs {
		for i := range 18 {
			v.Engines[ref] = append(v.Engines[ref], server(fmt.Sprint(ref, "-", i), "a", i))
		}
	}
	r := route.Request{ID: "r", Tenant: v.Table.Tenant("o"), Model: route.Auto, Prefix: 7}
	b.ReportAllocs()
	for i := range b.N {
		r.Seed = uint64(i)
		if _, ok := route.Decide(v, r, now).Outcome.(route.Send); !ok {
			b.Fatal("refused")
		}
	}
}

func BenchmarkDecide10Rows(b *testing.B)    { benchmarkDecide(b, 10) }
func BenchmarkDecide100Rows(b *testing.B)   { benchmarkDecide(b, 100) }
func BenchmarkDecide1000Rows(b *testing.B)  { benchmarkDecide(b, 1000) }
func BenchmarkDecide10000Rows(b *testing.B) { benchmarkDecide(b, 10000) }
