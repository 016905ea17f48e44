package quarantine

import (
	"encoding/binary"
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

// Part returns the content as a whole as a part.
func (f Fingerprint) Part() Part { return Part(f) }

// Group identifies servers that run a request in the same way: one version of a service with one model. A
// request may crash those of one group and be answered by those of another.
type Group uint64

// AnyGroup is the group of servers about which no more is known.
const AnyGroup Group = 0

// GroupOf returns the group of servers of a version that run a request with a model, "" if they have none.
func GroupOf(version, model string) Group {
	return Group(PartOf(version, model))
}

// Suspect describes a request that may have crashed its server.
type Suspect struct {
	Content Fingerprint
	// Group is that of the server.
	Group Group
	// Parts are the parts of the content that other requests may share.
	Parts []Part
	// Answered is set if the server had answered the request completely before it crashed.
	Answered bool
}

// ContentKeys returns what a registry of whole contents counts of a suspect.
func ContentKeys(s Suspect) []Part { return []Part{s.Content.Part()} }

// PartKeys returns what a registry of parts counts of a suspect.
func PartKeys(s Suspect) []Part { return s.Parts }

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
