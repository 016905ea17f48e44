package trace_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ladderridge.example/core/fault"
	_ "ladderridge.example/core/fixedseed"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/core/trace"
)

var now = time.Unix(1_800_000_000, 0).UTC()

func drawDecision(t *rapid.T) (*route.View, route.Request) {
	tab := table.Table{Organisations: []table.Organisation{{Name: "o"}}}
	v := &route.View{
		Generation: table.Generation{Number: 3}, Hall: "a", ConfirmedAt: now.Add(-time.Second),
		Engines: map[table.Ref][]*route.Server{}, Quality: map[route.QualityKey]route.Estimate{}, Guarded: map[table.Ref]string{},
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "versions") {
		ref := table.Ref{Model: fmt.Sprint("m", i%2), Version: fmt.Sprint("v", i)}
		tab.Versions = append(tab.Versions, table.Version{Ref: ref, Price: int64(i), Quality: 0.5, Status: table.Status(rapid.IntRange(0, 3).Draw(t, "status")), Stages: []float64{20}})
		tab.Allows = append(tab.Allows, table.Allow{Organisation: "o", Ref: ref, Weight: i, Target: 0.4})
		for n := range rapid.IntRange(0, 3).Draw(t, "servers") {
			s := &route.Server{ID: fmt.Sprint(ref, n), Hall: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "hall"), Capacity: 3, State: &route.ServerState{}}
			s.State.InFlight.Store(int64(rapid.IntRange(0, 4).Draw(t, "load")))
			v.Engines[ref] = append(v.Engines[ref], s)
		}
	}
	v.Table = table.New(tab)
	return v, route.Request{ID: rapid.StringN(1, 6, 6).Draw(t, "id"), Tenant: v.Table.Tenant("o"), Model: route.Auto, Seed: rapid.Uint64().Draw(t, "seed")}
}

func encode(t interface{ Fatal(...any) }, lines ...trace.Line) *bytes.Buffer {
	var buf bytes.Buffer
	for _, l := range lines {
		if err := json.NewEncoder(&buf).Encode(l); err != nil {
			t.Fatal(err)
		}
	}
	return &buf
}

// TestRecordedDecisionsReplay records drawn decisions and replays them. The replay
// must fail if a step or the outcome of the record is changed.
func TestRecordedDecisionsReplay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v, r := drawDecision(t)
		frozen, _ := trace.Freeze(v)
		d := route.Decide(frozen, r, now)
		view, request := trace.ViewOf(frozen), trace.RequestOf(frozen, r, now, d)
		if _, err := trace.Replay(encode(t, trace.Line{View: &view}, trace.Line{Request: &request})); err != nil {
			t.Fatal(err)
		}
		step, outcome := request, request
		step.Steps = append([]route.Step(nil), request.Steps...)
		step.Steps[len(step.Steps)-1].Text += " changed"
		outcome.Outcome.Version += "9"
		for _, changed := range []trace.Request{step, outcome} {
			_, err := trace.Replay(encode(t, trace.Line{View: &view}, trace.Line{Request: &changed}))
			if !fault.Is(err, trace.Mismatch) {
				t.Fatalf("a changed trace replays with %v", err)
			}
		}
	})
}

// TestTraceFilesReplay replays the traces in testdata.
func TestTraceFilesReplay(t *testing.T) {
	files, err := filepath.Glob("testdata/*.trace")
	if err != nil || len(files) == 0 {
		t.Fatalf("no traces: %v", err)
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		res, err := trace.Replay(f)
		if err != nil || res.Requests == 0 {
			t.Errorf("%s: %d requests, %v", name, res.Requests, err)
		}
		_ = f.Close()
	}
}

func TestMalformedTracesAreRejected(t *testing.T) {
	for _, text := range []string{"x\n", "{}\n", `{"request":{"id":"r"}}` + "\n", `{"view":{"table":"colour\n"}}` + "\n"} {
		if _, err := trace.Replay(bytes.NewBufferString(text)); err == nil {
			t.Errorf("%q replays without an error", text)
		}
	}
}
