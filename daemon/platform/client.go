package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// maxResponseBytes is the maximum size of a response of the platform.
const maxResponseBytes = 64 << 20

// Client calls the platform. Set its exported fields before the first call.
type Client struct {
	// URL is the base URL of the platform's services.
	URL string
	// Hall is the data hall of this process.
	Hall string
	// Timeout is the timeout of one call; 0 means DefaultTimeout.
	Timeout time.Duration
	// HTTP is the client for the calls; nil means http.DefaultClient.
	HTTP *http.Client
	// Calls and Bytes count the calls and the bytes sent and received, which are
	// checked against the budget for control traffic.
	Calls atomic.Int64
	Bytes atomic.Int64
	// Malformed counts elements of lists that could not be decoded.
	Malformed atomic.Int64
}

// Get reads one key of the table service.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var e Entry
	err := c.call(ctx, "get key", http.MethodGet, PathTable+"?key="+url.QueryEscape(key), nil, &e)
	return e, err
}

// List reads up to limit keys with a prefix that sort after the given key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]Entry, error) {
	q := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	var l Listing
	err := c.call(ctx, "list keys", http.MethodGet, PathTable+"?"+q.Encode(), nil, &l)
	return l.Entries, err
}

// Write runs a transaction.
func (c *Client) Write(ctx context.Context, txn Txn) ([]Entry, error) {
	body, err := json.Marshal(txn)
	if err != nil {
		return nil, &Error{Op: "write keys", Kind: Refused, Err: err}
	}
	var res TxnResult
	err = c.call(ctx, "write keys", http.MethodPost, PathTxn, body, &res)
	return res.Entries, err
}

// PutObject stores an object if none of that name exists.
func (c *Client) PutObject(ctx context.Context, name string, data []byte) error {
	return c.call(ctx, "put object", http.MethodPut, PathObjects+name, data, nil)
}

// GetObject reads an object.
func (c *Client) GetObject(ctx context.Context, name string) ([]byte, error) {
	var raw rawResponse
	err := c.call(ctx, "get object", http.MethodGet, PathObjects+name, nil, &raw)
	return raw, err
}

// VMs reads the list of VMs if it is newer than version since; otherwise it
// returns nil.
func (c *Client) VMs(ctx context.Context, since uint64) (*VMList, error) {
	var l VMList
	err := c.call(ctx, "list VMs", http.MethodGet, PathVMs+"?since="+strconv.FormatUint(since, 10), nil, &l)
	if err != nil || l.Version <= since {
		return nil, err
	}
	return &l, nil
}

// Ratings reads up to limit ratings with a sequence number greater than after.
func (c *Client) Ratings(ctx context.Context, after uint64, limit int) ([]Rating, error) {
	var rs Ratings
	path := PathRatings + "?after=" + strconv.FormatUint(after, 10) + "&limit=" + strconv.Itoa(limit)
	err := c.call(ctx, "read ratings", http.MethodGet, path, nil, &rs)
	return rs.Ratings, err
}

// rawResponse is a response body that is not decoded.
type rawResponse []byte

func (c *Client) call(ctx context.Context, op, method, path string, body []byte, answer any) error {
	timeout := c.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, c.URL+path, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: Refused, Err: merry.Wrap(err)}
	}
	r.Header.Set(HeaderHall, c.Hall)
	c.Calls.Add(1)
	c.Bytes.Add(int64(len(path) + len(body)))
	resp, err := c.client().Do(r)
	if err != nil {
		return &Error{Op: op, Kind: sendKind(method, err), Err: merry.Wrap(err)}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	c.Bytes.Add(int64(len(data)))
	if err != nil {
		return &Error{Op: op, Kind: lostKind(method), Err: merry.Wrap(err)}
	}
	return c.decode(op, method, resp, data, answer)
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// decode turns a response of the platform into a value or a typed error.
func (c *Client) decode(op, method string, resp *http.Response, data []byte, answer any) error {
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated:
	case http.StatusNotModified, http.StatusNoContent:
		return nil
	case http.StatusTooManyRequests:
		return &Error{Op: op, Kind: RateLimited, Err: &RetryError{After: retryAfter(resp)}}
	case http.StatusConflict, http.StatusPreconditionFailed:
		var res TxnResult
		_ = json.Unmarshal(data, &res)
		return &Error{Op: op, Kind: Conflict, Err: &ConflictError{Failed: res.Entries}}
	case http.StatusNotFound:
		return &Error{Op: op, Kind: NotFound}
	case http.StatusServiceUnavailable:
		// According to the platform's protocol a call answered with 503 had no effect.
		return &Error{Op: op, Kind: Unreachable, Err: merry.New("the platform answered 503")}
	default:
		if resp.StatusCode >= http.StatusInternalServerError {
			return &Error{Op: op, Kind: lostKind(method), Err: merry.Errorf("the platform answered %d", resp.StatusCode)}
		}
		return &Error{Op: op, Kind: Refused, Err: merry.Errorf("the platform answered %d: %s", resp.StatusCode, data)}
	}
	switch a := answer.(type) {
	case nil:
		return nil
	case *rawResponse:
		*a = data
		return nil
	case list:
		left, err := a.decode(data)
		c.Malformed.Add(int64(left))
		if err != nil {
			return &Error{Op: op, Kind: lostKind(method), Err: merry.Wrap(err)}
		}
		return nil
	default:
		if err := json.Unmarshal(data, a); err != nil {
			return &Error{Op: op, Kind: lostKind(method), Err: merry.Wrap(err)}
		}
		return nil
	}
}

// sendKind returns the kind of error of a call that got no response: it
// distinguishes a call that was never sent from one whose response was lost.
func sendKind(method string, err error) Kind {
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return Unreachable
	}
	return lostKind(method)
}

// lostKind returns the kind of error of a call whose response was lost. Only
// writes have an unknown outcome, since reads have no effect.
func lostKind(method string) Kind {
	if method == http.MethodGet {
		return Unreachable
	}
	return Unknown
}

// maxRetryAfter bounds the pause that the platform may ask for. What a float that no duration holds would become
// depends on the processor.
const maxRetryAfter = time.Hour

func retryAfter(resp *http.Response) time.Duration {
	s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	if err != nil || math.IsNaN(s) || s < 0 {
		return time.Second
	}
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}
