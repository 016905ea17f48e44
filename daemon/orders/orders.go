// Package orders gives engines orders that carry a fence from the platform's
// table service: a number that grows with every order to an engine. An engine
// that checks it refuses the order of a holder that was paused while another
// one went on.
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

// Kind says what sort of error the package met.
type Kind string

// The kinds of error.
const (
	// Superseded means that another order came first; this one was not sent,
	// or the engine refused it.
	Superseded Kind = "superseded by another order"
	// Unavailable means that no fence could be had; nothing was sent.
	Unavailable Kind = "no fence"
	// Unanswered means that the engine gave no answer; it may obey.
	Unanswered Kind = "engine gave no answer"
	// Refused means that the engine will not do it.
	Refused Kind = "engine refused"
)

// String names the kind.
func (k Kind) String() string { return string(k) }

// Error is the error type of this package.
type Error = fault.Of[Kind]

// Fence is what the table service keeps of an engine's latest order.
type Fence struct {
	Number uint64 `json:"number"`
	// Grant is the id of the grant, by which its holder finds it again.
	Grant  string          `json:"grant"`
	Holder string          `json:"holder"`
	Order  placement.Order `json:"order"`
}

// sendTimeout bounds one order: engines answer when they have begun.
const sendTimeout = 5 * time.Second

// Issuer gives orders. Set its fields before use.
type Issuer struct {
	Platform *platform.Client
	HTTP     *http.Client
	// Holder names this process.
	Holder string
}

// Give gets a fence and sends an order to the engine at an address.
func (i *Issuer) Give(ctx context.Context, o placement.Order, addr string) (Fence, error) {
	f, err := i.fence(ctx, o)
	if err != nil {
		return f, err
	}
	return f, i.Send(ctx, f, addr)
}

// fence gets the next number for an engine, on condition that nobody else did.
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

// settle finds out whether a grant whose answer was lost is there.
func (i *Issuer) settle(ctx context.Context, key string, f Fence) error {
	e, err := i.Platform.Get(ctx, key)
	if err != nil {
		return &Error{Op: "get fence", Kind: Unavailable, Err: err}
	}
	var there Fence
	if err := json.Unmarshal(e.Value, &there); err != nil {
		return &Error{Op: "get fence", Kind: Unavailable, Err: err}
	}
	if there.Grant != f.Grant {
		return &Error{Op: "get fence", Kind: Superseded, Err: merry.Errorf("%s holds number %d", there.Holder, there.Number)}
	}
	return nil
}

// Send sends an order under a fence. It may be sent again: an engine obeys one
// number once.
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
