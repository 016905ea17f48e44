package platform

import (
	"encoding/json"

	"ladderridge.example/core/rawjson"
)

// Lists whose elements come from several writers. An element that cannot be decoded does not hide the others.

// list is a response with such a list.
type list interface {
	// decode decodes the body of a response and returns how many elements it leaves out.
	decode(data []byte) (left int, err error)
}

func (l *VMList) decode(data []byte) (left int, err error) {
	members, err := rawjson.Object(data)
	if err != nil {
		return 0, err
	}
	if err := json.Unmarshal(members["version"], &l.Version); err != nil {
		return 0, err
	}
	l.VMs, left, err = decodeEach[VM](members["vms"])
	return left, err
}

func (l *Ratings) decode(data []byte) (left int, err error) {
	members, err := rawjson.Object(data)
	if err != nil {
		return 0, err
	}
	l.Ratings, left, err = decodeEach[Rating](members["ratings"])
	return left, err
}

// decodeEach decodes the elements of a JSON list, which may be missing or null, one by one.
func decodeEach[T any](text []byte) (elements []T, left int, err error) {
	if text == nil || string(text) == "null" {
		return nil, 0, nil
	}
	texts, err := rawjson.List(text)
	for _, text := range texts {
		var element T
		if json.Unmarshal(text, &element) != nil {
			left++
			continue
		}
		elements = append(elements, element)
	}
	return elements, left, err
}
