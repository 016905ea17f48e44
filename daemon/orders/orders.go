// Package orders sends orders to engines. Each order carries a fencing token
// (a fence) from the platform's table service: a number that grows with every
// order to the engine. An engine that checks it refuses an order from a process
// that was suspended while another one took over.
package orders

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/fault"
	"ladderridge.example/core/placement"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/wire"
)

// Prefix is followed by an engine's id in the table service.
const Prefix = "fence/"

// Kind classifies an error.
type Kind string

// The kinds of error.
const (
	// Superseded means that another order was issued first: this one was not
	// sent, or the engine refused it.
	Superseded Kind = "superseded by another order"
	// Unavailable means that no fence could be obtained; nothing was sent.
	Unavailable Kind = "no fence"
	// Unanswered means that the engine gave no answer; it may still carry out
	// the order.
	Unanswered Kind = "engine gave no answer"
	// Refused means that the order could not be sent or the engine rejected it.
	Refused Kind = "engine refused"
)

// String returns the name of the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Fence is the table service's entry for the latest order to an engine.
type Fence struct {
	Number uint64 `json:"number"`
	// Grant is a random id, by which the holder recognises its own entry when
	// the answer to the write was lost.
	Grant  string          `json:"grant"`
	Holder string          `json:"holder"`
	Order  placement.Order `json:"order"`
}

// sendTimeout is the timeout of one order. Engines answer once they have started
// to carry it out, not when they have finished.
const sendTimeout = 5 * time.Second

// Issuer issues orders to engines. Set its fields before use.
type Issuer struct {
	Platform *platform.Client
	HTTP     *http.Client
	// Holder identifies this process.
	Holder string
}

// Issue obtains a fence and sends an order to the engine at an address.
func (i *Issuer) Issue(ctx context.Context, o placement.Order, addr string) (Fence, error) {
	f, err := i.fence(ctx, o)
	if err != nil {
		return f, err
	}
	return f, i.Send(ctx, f, addr)
}

// fence obtains the next number for an engine, with a conditional write that
// fails if another process has taken the number.
func (i *Issuer) fence(ctx context.Context, o placement.Order) (Fence, error) {
	const op = "get fence"
	key := Prefix + o.Engine
	e, err := i.Platform.Get(ctx, key)
	if err != nil && !fault.Is(err, platform.NotFound) {
		return Fence{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	var last Fence
	if e.Version > 0 {
		if err := json.Unmarshal(e.Value, &last); err != nil {
			return Fence{}, &Error{Op: op, Kind: Unavailable, Err: err}
		}
	}
	f := Fence{Number: last.Number + 1, Grant: rand.Text(), Holder: i.Holder, Order: o}
	value, err := json.Marshal(f)
	if err != nil {
		return Fence{}, &Error{Op: op, Kind: Unavailable, Err: err}
	}
	_, err = i.Platform.Write(ctx, platform.Txn{Ops: []platform.Op{{Key: key, Expect: e.Version, Value: value}}})
	switch {
	case err == nil:
		return f, nil
	case fault.Is(err, platform.Unknown), fault.Is(err, platform.Conflict):
		return f, i.settle(ctx, key, f)
	}
	return Fence{}, &Error{Op: op, Kind: Unavailable, Err: err}
}

// settle reads the fence back after a write with an unknown outcome or a
// conflict, and reports whether it is this issuer's own.
func (i *Issuer) settle(ctx context.Context, key string, f Fence) error {
	e, err := i.Platform.Get(ctx, key)
	if err != nil {
		return &Error{Op: "get fence", Kind: Unavailable, Err: err}
	}
	var stored Fence
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		return &Error{Op: "get fence", Kind: Unavailable, Err: err}
	}
	if stored.Grant != f.Grant {
		return &Error{Op: "get fence", Kind: Superseded, Err: merry.Errorf("%s holds number %d", stored.Holder, stored.Number)}
	}
	return nil
}

// Send sends an order with its fence. It may be repeated: an engine carries out
// each number only once.
func (i *Issuer) Send(ctx context.Context, f Fence, addr string) error {
	const op = "send order"
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	body, err := json.Marshal(wire.EngineOrder{
		Fence: f.Number, Action: string(f.Order.Action), Model: f.Order.Ref.Model, Version: f.Order.Ref.Version,
	})
	if err != nil {
		return &Error{Op: op, Kind: Refused, Err: err}
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+wire.PathOrders, bytes.NewReader(body))
	if err != nil {
		return &Error{Op: op, Kind: Refused, Err: err}
	}
	resp, err := i.HTTP.Do(r)
	if err != nil {
		return &Error{Op: op, Kind: Unanswered, Err: merry.Wrap(err)}
	}
	defer resp.Body.Close()
	switch resp.StatusCode {
	case http.StatusAccepted, http.StatusOK:
		return nil
	case http.StatusConflict:
		return &Error{Op: op, Kind: Superseded, Err: merry.New("the engine knows a later fence")}
	default:
		return &Error{Op: op, Kind: Refused, Err: merry.New(resp.Status)}
	}
}
