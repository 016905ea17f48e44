package channel

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"

	"golang.org/x/net/http/httpguts"
)

// The head of an answer is read by the rules of RFC 9112, where package net/http is lenient: it takes status
// 000, names with blanks, and a transfer coding beside a length or in HTTP/1.0. A proxy would pass such a
// head on, or read another body than the server has sent.

// Reasons why a head or a trailer is not one of HTTP.
var (
	errHTTPVersion  = errors.New("the version is not HTTP/1.x")
	errStatus       = errors.New("the status is not a number from 100 to 999")
	errReasonPhrase = errors.New("the reason phrase has control characters")
	errSwitched     = errors.New("the protocol is switched, which no request asks for")
	errInterimBody  = errors.New("an interim response has a body")
	errFieldName    = errors.New("the name of a field is missing or has invalid characters")
	errFieldValue   = errors.New("the value of a field has control characters")
	errCoding       = errors.New("the transfer coding is unknown or contradicts the length or the version")
	errLength       = errors.New("the length is not a number, or there are several")
)

// response is an answer whose body is still to be read.
type response struct {
	status int
	header http.Header
	// length is the length of the body in bytes, or -1 if it is not known.
	length int64
	// selfDelimited is set if the body marks its own end. Any other one ends with its connection.
	selfDelimited bool
	// close is set if the connection carries no further answer.
	close bool
	body  io.Reader
}

// readHead reads the head of an answer to a request and skips interim responses.
func (c *persistentConn) readHead(method string) (*response, error) {
	c.headLeft = maxHead
	defer func() { c.headLeft = noLimit }()
	for {
		line, err := readLine(c.read)
		if err != nil {
			return nil, err
		}
		minor, status, err := parseStatusLine(line)
		if err != nil {
			return nil, err
		}
		h, err := readFields(c.read)
		if err != nil {
			return nil, err
		}
		switch {
		case status == http.StatusSwitchingProtocols:
			return nil, errSwitched
		case status >= http.StatusOK:
			return c.frame(method, minor, status, h)
		case len(h["Content-Length"])+len(h["Transfer-Encoding"]) > 0:
			return nil, errInterimBody
		}
	}
}

// parseStatusLine returns the minor version of HTTP and the status.
func parseStatusLine(line []byte) (minor, status int, err error) {
	version, rest, _ := bytes.Cut(line, []byte(" "))
	digit, ok := bytes.CutPrefix(version, []byte("HTTP/1."))
	if !ok || len(digit) != 1 || !isDigits(digit) {
		return 0, 0, errHTTPVersion
	}
	code, reason, _ := bytes.Cut(rest, []byte(" "))
	if len(code) != 3 || !isDigits(code) || code[0] == '0' {
		return 0, 0, errStatus
	}
	if !httpguts.ValidHeaderFieldValue(string(reason)) {
		return 0, 0, errReasonPhrase
	}
	status, err = strconv.Atoi(string(code))
	return int(digit[0] - '0'), status, err
}

func isDigits(text []byte) bool {
	return len(text) > 0 && !bytes.ContainsFunc(text, func(r rune) bool { return r < '0' || r > '9' })
}

// readLine reads a line and returns it without its end.
func readLine(r *bufio.Reader) ([]byte, error) {
	line, err := r.ReadBytes('\n')
	if err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r")), nil
}

// readFields reads the fields of a head or a trailer, to the empty line behind them. A line that continues a
// value, which no sender may generate, cannot be told from a name that begins with a blank.
func readFields(r *bufio.Reader) (http.Header, error) {
	h := http.Header{}
	for {
		line, err := readLine(r)
		if err != nil || len(line) == 0 {
			return h, err
		}
		name, value, found := strings.Cut(string(line), ":")
		switch {
		case !found, !httpguts.ValidHeaderFieldName(name):
			return nil, errFieldName
		case !httpguts.ValidHeaderFieldValue(value):
			return nil, errFieldValue
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		h[name] = append(h[name], strings.Trim(value, " \t"))
	}
}

// frame determines where the body of an answer ends.
func (c *persistentConn) frame(method string, minor, status int, h http.Header) (*response, error) {
	out := &response{status: status, header: h, length: -1, body: c.read, close: !keepsOpen(minor, h)}
	codings, lengths := h["Transfer-Encoding"], h["Content-Length"]
	switch {
	case len(codings) > 0 && (len(lengths) > 0 || minor == 0 || len(codings) > 1 || !strings.EqualFold(codings[0], "chunked")):
		return nil, errCoding
	case len(lengths) > 0:
		n, ok := parseLength(lengths)
		if !ok {
			return nil, errLength
		}
		out.length = n
	}
	switch {
	case method == http.MethodHead, status == http.StatusNoContent, status == http.StatusNotModified:
		out.length, out.body, out.selfDelimited = 0, http.NoBody, true
	case len(codings) > 0:
		out.body, out.selfDelimited = newChunkedBody(c), true
	case out.length >= 0:
		out.body, out.selfDelimited = &fixedBody{c.read, out.length}, true
	}
	return out, nil
}

// keepsOpen reports whether a connection carries further answers by the head of one.
func keepsOpen(minor int, h http.Header) bool {
	return !httpguts.HeaderValuesContainsToken(h["Connection"], "close") && (minor > 0 || httpguts.HeaderValuesContainsToken(h["Connection"], "keep-alive"))
}

// parseLength returns the length that the values of Content-Length name. It may be repeated.
func parseLength(values []string) (n int64, ok bool) {
	all := strings.Split(strings.Join(values, ","), ",")
	for i := range all {
		all[i] = strings.Trim(all[i], " \t")
	}
	if !isDigits([]byte(all[0])) || slices.ContainsFunc(all, func(other string) bool { return other != all[0] }) {
		return 0, false
	}
	n, err := strconv.ParseInt(all[0], 10, 64)
	return n, err == nil
}
