package wire_test

import (
	"encoding/json"
	"testing"

	"ladderridge.example/daemon/wire"
)

func TestContentIsATextOrAListOfParts(t *testing.T) {
	for body, want := range map[string]string{
		`{"content":"plain"}`: "plain",
		`{"content":[{"type":"text","text":"one "},{"type":"image_url","image_url":{}},{"type":"text","text":"two"}]}`: "one two",
		`{"content":null}`: "",
		`{"content":[]}`:   "",
	} {
		var m wire.Message
		if err := json.Unmarshal([]byte(body), &m); err != nil || string(m.Content) != want {
			t.Errorf("%s: %q, %v", body, m.Content, err)
		}
	}
	var m wire.Message
	if err := json.Unmarshal([]byte(`{"content":7}`), &m); err == nil {
		t.Error("a number is accepted as content")
	}
}

func TestFinalChunkHasAnEmptyListOfChoices(t *testing.T) {
	data, err := json.Marshal(wire.ChatChunk{ID: "x", Object: wire.ObjectChunk, Choices: []wire.ChunkChoice{}, Usage: &wire.Usage{}})
	if err != nil {
		t.Fatal(err)
	}
	var object map[string]json.RawMessage
	if err := json.Unmarshal(data, &object); err != nil || string(object["choices"]) != "[]" {
		t.Errorf("%s, %v", data, err)
	}
}
