package rawjson_test

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"
	"testing"

	"ladderridge.example/core/rawjson"
)

// deep is a value that is nested deeper than encoding/json accepts.
var deep = strings.Repeat("[", 11_000) + strings.Repeat("]", 11_000)

// One element must not hide the others, whatever it holds between its brackets.
func TestMalformedElementHidesNoOther(t *testing.T) {
	for _, odd := range []string{
		`1e30`, `-1`, `"a,]}\"["`, `null`, `{}`, `[]`, `{"a":}`, `{"a" 1}`, `{"a":01,"b":"]"}`, `{]`, `nonsense`, deep, `{"a":` + deep + `}`, `{"a":{"b":"\\"}}`,
	} {
		list, err := rawjson.List([]byte(" [ {\"k\":1},\n" + odd + " , {\"k\":2}\t] "))
		if err != nil || len(list) != 3 || string(list[0]) != `{"k":1}` || string(list[1]) != odd || string(list[2]) != `{"k":2}` {
			t.Errorf("%.40s: %.80q, %v", odd, list, err)
		}
		object, err := rawjson.Object([]byte("{ \"a\" : 1,\"odd\":" + odd + "\n, \"\\u0062\": \"2\" }"))
		if err != nil || len(object) != 3 || string(object["a"]) != "1" || string(object["odd"]) != odd || string(object["b"]) != `"2"` {
			t.Errorf("%.40s: %.80q, %v", odd, object, err)
		}
	}
}

func TestTextThatIsNoListOrObjectIsRejected(t *testing.T) {
	for _, text := range []string{"", " ", "1", "null", `"a"`, "[", "[1", "[1,", "[1 2]", "[1]]", "[1] 2", "[,", `["a]`, "[1}", "{}", `{"a":1}`} {
		if list, err := rawjson.List([]byte(text)); err == nil {
			t.Errorf("%q is the list %q", text, list)
		}
	}
	for _, text := range []string{"", "[]", "{", `{"a"`, `{"a":`, `{"a":1`, `{"a":1,}`, `{"a":1}}`, `{a:1}`, `{"a":1,"a":2}`, `{1:2}`, `{"a" 1}`, "{\"\xff\":1}"} {
		if object, err := rawjson.Object([]byte(text)); err == nil {
			t.Errorf("%q is the object %q", text, object)
		}
	}
}

// FuzzSplit checks that valid texts are split as encoding/json splits them, and that no text makes the
// scanner panic or loop.
func FuzzSplit(f *testing.F) {
	for _, text := range []string{`[1,"a",{"b":[]}]`, `{"a":1,"b":{"c":"\""}}`, `[{`, "[\"\\", `{"a":[}`} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		list, listErr := rawjson.List(data)
		object, objectErr := rawjson.Object(data)
		var wantList []json.RawMessage
		if json.Unmarshal(data, &wantList) == nil && wantList != nil {
			same := slices.EqualFunc(list, wantList, func(a []byte, b json.RawMessage) bool { return string(a) == string(b) })
			if listErr != nil || !same {
				t.Errorf("%q: %q, %v", data, list, listErr)
			}
		}
		var wantObject map[string]json.RawMessage
		if json.Unmarshal(data, &wantObject) == nil && wantObject != nil && objectErr == nil {
			same := maps.EqualFunc(object, wantObject, func(a []byte, b json.RawMessage) bool { return string(a) == string(b) })
			if !same {
				t.Errorf("%q: %q", data, object)
			}
		}
	})
}
