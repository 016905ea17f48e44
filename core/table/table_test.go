package table_test

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	_ "ladderridge.example/core/fixedseed"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/table"
)

const header = "kind,organisation,model,version,status,weight,target,price,quality,max_age,stages,stage,requests_per_s,key_sha256,service,method,path,repeat\n"

func parse(t *testing.T, rows string) *table.Table {
	t.Helper()
	parsed, err := table.Parse([]byte(header + rows))
	if err != nil {
		t.Fatal(err)
	}
	return parsed
}

const small = `organisation,voluntas,,,,,,,,,,,20,,,,,
version,,roster,v1,steady,,,20,0.9,,,,,,,,,
version,,roster,v2,rolling_out,,,10,0.92,30s,1 25 100,1,,,,,,
allow,voluntas,roster,v1,,50,0.8,,,,,,,,,,,
allow,voluntas,roster,v2,,,0.8,,,,,,,,,,,
call,*,,,,,,,,,,,,,broker,POST,/checkout,once
call,voluntas,,,,,,,,,,,,,broker,*,/,yes
`

func TestParseAndEncodeRoundTrip(t *testing.T) {
	first := parse(t, small)
	second, err := table.Parse(first.Encode())
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(first, second, cmpopts.IgnoreUnexported(table.Table{}), cmpopts.EquateEmpty(), cmpopts.SortSlices(func(a, b table.CallRule) bool { return a.Path < b.Path })); diff != "" {
		t.Error(diff)
	}
	if first.Digest() != second.Digest() {
		t.Error("the digest changed by encoding and parsing")
	}
}

func TestParseReportsEveryInvalidCellWithRowAndColumn(t *testing.T) {
	rows := `organisation,voluntas,,,,,,,,,,,fast,,,,,
version,,roster,v1,stedy,,,20,1.5,,,,,,,,,
allow,nobody,roster,v9,,50,0.8,,,,,,,,,,,
allow,voluntas,roster,v1,,-1,0.8,,,,,,,,,,,
allow,voluntas,roster,v1,,1,0.8,,,,,,,,,,,
call,voluntas,,,,,,,,,,,,,broker,POST,checkout,never
version,,roster,v3,rolling_out,,,20,,,,,,,,,,
what,,,,,,,,,,,,,,,,,
`
	_, err := table.Parse([]byte(header + rows))
	if !fault.Is(err, table.Invalid) {
		t.Fatalf("got %v, want an invalid table", err)
	}
	for _, want := range []string{
		"row 2, column requests_per_s", "row 3, column status", "row 3, column quality", "row 4, column organisation",
		"row 4, column version", "row 5, column weight", "row 6, column kind", "row 7, column path", "row 7, column repeat",
		"row 8, column stages", "row 9, column kind",
	} {
		if !strings.Contains(err.Error(), want) {
			t.Errorf("the error does not name %q:\n%v", want, err)
		}
	}
}

func TestParseRejectsMalformedFiles(t *testing.T) {
	for name, data := range map[string]string{
		"empty":          "",
		"unknown column": "kind,colour\n",
		"column twice":   "kind,kind\n",
		"no kind":        "organisation,model\n",
		"broken quotes":  "kind\n\"organisation\n",
	} {
		if _, err := table.Parse([]byte(data)); err == nil {
			t.Errorf("%s: parsed without an error", name)
		}
	}
}

// FuzzParse checks that a file is either rejected with a typed error or parsed into
// a table that keeps its digest when it is encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(header + small))
	f.Add([]byte("kind\nversion\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		first, err := table.Parse(data)
		var typed *table.Error
		if err != nil {
			if !errors.As(err, &typed) {
				t.Fatalf("untyped error %v", err)
			}
			return
		}
		second, err := table.Parse(first.Encode())
		if err != nil {
			t.Fatalf("the encoded table does not parse: %v", err)
		}
		if first.Digest() != second.Digest() {
			t.Fatal("the digest changed by encoding and parsing")
		}
	})
}

func TestDiffListsChangesOfAnEdit(t *testing.T) {
	before := parse(t, small)
	after := parse(t, strings.NewReplacer("roster,v1,steady", "roster,v1,withdrawn", "call,voluntas", "call,*").Replace(small))
	var got []string
	for _, c := range table.Diff(before, after) {
		got = append(got, c.String())
	}
	want := []string{
		`~ version roster@v1: status "steady" -> "withdrawn"`,
		"+ call * broker * /",
		"- call voluntas broker * /",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestRuleWithLongestPathApplies(t *testing.T) {
	tenant := parse(t, small).Tenant("voluntas")
	for path, once := range map[string]bool{"/checkout": true, "/checkout/7": true, "/audit": false} {
		c, ok := tenant.CallRule("broker", "POST", path)
		if !ok || c.Once != once {
			t.Errorf("POST %s: once is %v (%v), want %v", path, c.Once, ok, once)
		}
	}
	if _, ok := tenant.CallRule("other", "GET", "/"); ok {
		t.Error("a service without a rule may be called")
	}
}

// TestLaterStatusApplies checks for every pair of statuses that the later one of the
// version row and the allow row applies.
func TestLaterStatusApplies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		statuses := []table.Status{table.Steady, table.RollingOut, table.Retiring, table.Withdrawn}
		a, b := rapid.SampledFrom(statuses).Draw(t, "version"), rapid.SampledFrom(statuses).Draw(t, "allow")
		ref := table.Ref{Model: "m", Version: "v"}
		built := table.New(table.Table{
			Organisations: []table.Organisation{{Name: "o"}},
			Versions:      []table.Version{{Ref: ref, Status: a}},
			Allows:        []table.Allow{{Organisation: "o", Ref: ref, Status: b}},
		})
		c, ok := built.Tenant("o").Candidate(ref)
		if !ok || c.Status != max(a, b) {
			t.Fatalf("%v and %v give %v", a, b, c.Status)
		}
	})
}
