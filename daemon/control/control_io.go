package control

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"ladderridge.example/core/bill"
	"ladderridge.example/core/node"
	"ladderridge.example/core/quality"
	"ladderridge.example/core/replication"
	"ladderridge.example/core/route"
	"ladderridge.example/core/table"
	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/wire"
)

// BillPrefix is followed by a request's key in the table service.
const BillPrefix = "bill/"

// read asks the platform for a document, off the control goroutine.
func (l *loop) read(o node.Read) {
	held := l.node.Store.Get(o.Topic).Data
	go func() {
		done, stood := node.ReadDone{Topic: o.Topic, SentAt: time.Now()}, l.StoodStill.Now()
		var err error
		switch o.Topic {
		case replication.Config:
			done.Number, done.Data, err = l.readConfig(o.HeldNumber)
		case replication.VMs:
			done.Number, done.Data, err = l.readVMs(o.HeldNumber)
		case replication.Quality:
			done.Number, done.Data, err = l.readQuality(o.HeldNumber, held)
		}
		if err != nil {
			done.Failed = true
			done.RetryAfter = retryAfter(err)
			l.Log.Debug().Str("topic", o.Topic.String()).Err(err).Msg("control: a read failed")
		}
		// An answer is as old as its question, also if the VM stood still meanwhile.
		done.SentAt = done.SentAt.Add(stood - l.StoodStill.Now())
		l.post(nodeEvent{done})
	}()
}

// retryAfter is when the platform asked to come back, or 0.
func retryAfter(err error) time.Duration {
	var retry *platform.RetryError
	if errors.As(err, &retry) {
		return retry.After
	}
	return 0
}

func (l *loop) readConfig(have uint64) (uint64, []byte, error) {
	h, _, err := l.store.Newest(l.ctx)
	if err != nil || h.Number <= have {
		return h.Number, nil, err
	}
	data, err := l.store.File(l.ctx, h)
	return h.Number, data, err
}

func (l *loop) readVMs(have uint64) (uint64, []byte, error) {
	list, err := l.Platform.VMs(l.ctx, have)
	if err != nil || list == nil {
		return have, nil, err
	}
	data, err := json.Marshal(list)
	return list.Version, data, err
}

// ratingsPerRead bounds the ratings taken in at one read.
const ratingsPerRead = 1000

func (l *loop) readQuality(have uint64, held []byte) (uint64, []byte, error) {
	ratings, err := l.Platform.Ratings(l.ctx, have, ratingsPerRead)
	if err != nil || len(ratings) == 0 {
		return have, nil, err
	}
	var doc quality.Document
	if len(held) > 0 {
		// A held document was read before it was accepted.
		_ = json.Unmarshal(held, &doc)
	}
	for _, r := range ratings {
		key := route.QualityKey{Organisation: r.Organisation, Kind: r.Kind, Ref: table.Ref{Model: r.Model, Version: r.Version}}
		doc = doc.WithRating(key, r.Score)
	}
	data, err := json.Marshal(doc)
	return ratings[len(ratings)-1].Seq, data, err
}

// writeBills writes a batch, off the control goroutine.
func (l *loop) writeBills(bills []bill.Bill) {
	txn := platform.Txn{Ops: make([]platform.Op, 0, len(bills))}
	for _, b := range bills {
		value, err := json.Marshal(b)
		if err != nil {
			continue
		}
		txn.Ops = append(txn.Ops, platform.Op{Key: BillPrefix + b.Key, Value: value})
	}
	go func() {
		_, err := l.Platform.Write(l.ctx, txn)
		var conflict *platform.ConflictError
		switch {
		case err == nil:
			l.post(nodeEvent{node.BillsWritten{}})
		case errors.As(err, &conflict) && len(conflict.Failed) > 0:
			l.post(nodeEvent{node.BillsWritten{Found: billKeys(conflict.Failed)}})
		default:
			l.Log.Debug().Err(err).Msg("control: bills are not written yet")
			l.post(nodeEvent{node.BillsFailed{RetryAfter: retryAfter(err)}})
		}
	}()
}

func billKeys(entries []platform.Entry) []string {
	keys := make([]string, 0, len(entries))
	for _, e := range entries {
		keys = append(keys, e.Key[len(BillPrefix):])
	}
	return keys
}

// pollers ask backend servers for their load.
type pollers struct {
	post   func(event)
	client *http.Client
}

// pollTimeout bounds one poll.
const pollTimeout = time.Second

// idlePolls is how many connections for polls are kept.
const idlePolls = 256

func newPollers(post func(event)) *pollers {
	return &pollers{
		post:   post,
		client: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{MaxIdleConns: idlePolls, MaxIdleConnsPerHost: 1}},
	}
}

func (p *pollers) poll(ctx context.Context, b *backend) {
	e := reportEvent{server: b.vm.ID, sentAt: time.Now(), own: int(b.load.InFlight.Load())}
	url := "http://" + b.vm.Addr + wire.PathLoad
	go func() {
		e.report, e.err = p.ask(ctx, url)
		p.post(e)
	}()
}

func (p *pollers) ask(ctx context.Context, url string) (wire.LoadReport, error) {
	var report wire.LoadReport
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report, err
	}
	resp, err := p.client.Do(r)
	if err != nil {
		return report, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report, merry.Errorf("status %d", resp.StatusCode)
	}
	return report, json.NewDecoder(resp.Body).Decode(&report)
}
