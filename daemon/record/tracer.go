package record

import (
	"sync"
	"sync/atomic"
	"time"

	"ladderridge.example/core/route"
	"ladderridge.example/core/trace"
)

// Tracer records routing decisions for the listeners of a trace. Without
// listeners it makes no copy of the view.
type Tracer struct {
	active atomic.Int32

	mu    sync.Mutex
	sinks map[chan trace.Line]*route.View
}

// NewTracer returns a tracer without listeners.
func NewTracer() *Tracer { return &Tracer{sinks: map[chan trace.Line]*route.View{}} }

// Decide makes the routing decision for a request, and sends it to the listeners
// if there are any.
func (t *Tracer) Decide(v *route.View, r route.Request, now time.Time) route.Decision {
	if t.active.Load() == 0 {
		return route.Decide(v, r, now)
	}
	frozen, back := trace.Freeze(v)
	d := route.Decide(frozen, r, now)
	line := trace.RequestOf(frozen, r, now, d)
	t.write(v, line)
	if send, ok := d.Outcome.(route.Send); ok {
		send.Server = back[send.Server]
		d.Outcome = send
	}
	return d
}

// write sends a decision to every listener, preceded by its view unless the
// listener has received that view last. A slow listener misses decisions, but
// never gets a decision without its view.
func (t *Tracer) write(v *route.View, r trace.Request) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for sink, last := range t.sinks {
		if last != v {
			view := trace.ViewOf(v)
			select {
			case sink <- trace.Line{View: &view}:
				t.sinks[sink] = v
			default:
				continue
			}
		}
		select {
		case sink <- trace.Line{Request: &r}:
		default:
		}
	}
}

// Listen returns a channel that receives new trace lines, and a function that
// ends the subscription.
func (t *Tracer) Listen() (<-chan trace.Line, func()) {
	sink := make(chan trace.Line, watchBacklog)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sinks[sink] = nil
	t.active.Add(1)
	return sink, func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		delete(t.sinks, sink)
		t.active.Add(-1)
	}
}
