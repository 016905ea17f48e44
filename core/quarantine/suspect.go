package quarantine

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Part is a hash of a part of a request's content that other requests may share, such as a system
// prompt or a document.
type Part uint64

// PartOf returns the part of requests for a service that has this id. The servers of one service may
// run a part that crashes those of another.
func PartOf(service, id string) Part {
	var d xxhash.Digest
	var length [8]byte
	binary.LittleEndian.PutUint64(length[:], uint64(len(service)))
	d.Reset()
	_, _ = d.Write(length[:])
	_, _ = d.WriteString(service)
	_, _ = d.WriteString(id)
	return Part(d.Sum64())
}

// String formats the part for logs.
func (p Part) String() string { return strconv.FormatUint(uint64(p), 16) }

// PartNames formats parts for logs.
func PartNames(parts []Part) []string {
	out := make([]string, 0, len(parts))
	for _, p := range parts {
		out = append(out, p.String())
	}
	return out
}

// Suspect describes a request that may have crashed its server.
type Suspect struct {
	Content Fingerprint
	// Parts are the parts of the content that other requests may share.
	Parts []Part
	// Answered is set if the server had answered the request completely before it crashed.
	Answered bool
}

// Unanswered returns the suspects that were not answered.
func Unanswered(suspects []Suspect) []Suspect {
	return slices.DeleteFunc(slices.Clone(suspects), func(s Suspect) bool { return s.Answered })
}

// Contents returns the contents of suspects.
func Contents(suspects []Suspect) []Fingerprint {
	out := make([]Fingerprint, 0, len(suspects))
	for _, s := range suspects {
		out = append(out, s.Content)
	}
	return out
}

// Parts returns the distinct parts of suspects.
func Parts(suspects []Suspect) []Part {
	var out []Part
	seen := map[Part]bool{}
	for _, s := range suspects {
		for _, p := range s.Parts {
			if !seen[p] {
				seen[p] = true
				out = append(out, p)
			}
		}
	}
	return out
}
