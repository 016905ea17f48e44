// Package quarantine finds requests under which backend servers end, queries of death, and
// says which requests get no server any more. The load that it answers is one request that
// comes again at any daemon and ends each server that begins to run it: whoever blames the
// servers alone has it end one after the other, with all that others run there.
package quarantine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Fingerprint is a hash of what a request asks, whoever of its caller's attempts it is:
// requests that are alike in all of a Content have the same.
type Fingerprint uint64

// String writes it as logs have it.
func (f Fingerprint) String() string { return strconv.FormatUint(uint64(f), 16) }

// Content is what makes two requests the same one.
type Content struct {
	Method string
	Host   string
	// Target is the path with its query.
	Target string
	// Organisation is the caller's, or "".
	Organisation string
	Body         []byte
}

// Fingerprint returns the hash of the content. Each part goes in behind its length, so that
// no two contents run into each other.
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
