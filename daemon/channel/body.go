package channel

import (
	"bufio"
	"io"
	"net/http/httputil"
)

// fixedBody is a body of known length.
type fixedBody struct {
	read *bufio.Reader
	left int64
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	n, err := b.read.Read(p[:min(int64(len(p)), b.left)])
	if b.left -= int64(n); b.left > 0 && err == io.EOF { //nolint:errorlint // bufio.Reader returns io.EOF itself.
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody is a body in chunks. It is complete at the end of its trailer, whose fields are dropped.
type chunkedBody struct {
	conn   *persistentConn
	chunks io.Reader
	err    error
}

func newChunkedBody(c *persistentConn) *chunkedBody {
	return &chunkedBody{conn: c, chunks: httputil.NewChunkedReader(c.read)}
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF { //nolint:errorlint // The reader of chunks returns io.EOF itself.
		err = b.readTrailer()
	}
	b.err = err
	return n, err
}

// readTrailer reads the trailer and returns io.EOF if it is complete.
func (b *chunkedBody) readTrailer() error {
	b.conn.headLeft = maxHead
	defer func() { b.conn.headLeft = noLimit }()
	if _, err := readFields(b.conn.read); err != nil {
		return err
	}
	return io.EOF
}
