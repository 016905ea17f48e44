// Package quarantine detects requests that crash backend servers (queries of death) and says which
// requests are not sent to any server for now. It protects against a request that is sent again
// and again, to any daemon, and crashes each server that begins to run it: a daemon that blames
// only the servers would lose them one after the other, with all other requests running there.
package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of the content of a request. All attempts of a caller with equal Contents
// have the same one.
type Fingerprint uint64

// String formats the fingerprint for logs.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Content holds the parts of a request that identify it.
type Content struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	// Organisation is that of the caller, or "".
	Organisation string
	Body         []byte
}

// Fingerprint returns the hash of the content. The length of each part is hashed before the part,
// so that different contents don't concatenate to the same bytes.
func (c Content) Fingerprint() Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.Method, c.Host, c.Target, c.Organisation} {
		writeLength(d, len(part))
		_, _ = d.WriteString(part)
	}
	writeLength(d, len(c.Body))
	_, _ = d.Write(c.Body)
	return Fingerprint(d.Sum64())
}

func writeLength(d *xxhash.Digest, n int) {
	var b [8]byte
	binary.LittleEndian.PutUint64(b[:], uint64(n))
	_, _ = d.Write(b[:])
}
