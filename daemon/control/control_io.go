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

// BillPrefix is the prefix of the keys of bills in the table service. The key of
// the request follows it.
const BillPrefix = "bill/"

// read requests a document from the platform in a goroutine of its own.
func (l *loop) read(o node.Read) {
	heldData := l.node.Store.Get(o.Topic).Data
	go func() {
		done, suspendedBefore := node.ReadDone{Topic: o.Topic, SentAt: time.Now()}, l.SuspendClock.Now()
		var err error
		switch o.Topic {
		case replication.Config:
			done.Number, done.Data, err = l.readConfig(o.HeldNumber)
		case replication.VMs:
			done.Number, done.Data, err = l.readVMs(o.HeldNumber)
		case replication.Quality:
			done.Number, done.Data, err = l.readQuality(o.HeldNumber, heldData)
		}
		if err != nil {
			done.Failed = true
			done.RetryAfter = retryAfter(err)
			l.Log.Debug().Str("topic", o.Topic.String()).Err(err).Msg("control: reading from the platform failed")
		}
		// The data may be as old as the request. A suspension of the VM in between
		// adds to its age.
		done.SentAt = done.SentAt.Add(suspendedBefore - l.SuspendClock.Now())
		l.post(nodeEvent{done})
	}()
}

// retryAfter returns the retry delay that the platform asked for, or 0.
func retryAfter(err error) time.Duration {
	var retry *platform.RetryError
	if errors.As(err, &retry) {
		return retry.After
	}
	return 0
}

func (l *loop) readConfig(heldNumber uint64) (uint64, []byte, error) {
	h, _, err := l.store.Newest(l.ctx)
	if err != nil || h.Number <= heldNumber {
		return h.Number, nil, err
	}
	data, err := l.store.File(l.ctx, h)
	return h.Number, data, err
}

func (l *loop) readVMs(heldNumber uint64) (uint64, []byte, error) {
	list, err := l.Platform.VMs(l.ctx, heldNumber)
	if err != nil || list == nil {
		return heldNumber, nil, err
	}
	data, err := json.Marshal(list)
	return list.Version, data, err
}

// ratingsPerRead is the maximum number of ratings in one read.
const ratingsPerRead = 1000

func (l *loop) readQuality(heldNumber uint64, heldData []byte) (uint64, []byte, error) {
	ratings, err := l.Platform.Ratings(l.ctx, heldNumber, ratingsPerRead)
	if err != nil || len(ratings) == 0 {
		return heldNumber, nil, err
	}
	var doc quality.Document
	if len(heldData) > 0 {
		// The held document was decoded without error before it was accepted.
		_ = json.Unmarshal(heldData, &doc)
	}
	for _, r := range ratings {
		key := route.QualityKey{Organisation: r.Organisation, Kind: r.Kind, Ref: table.Ref{Model: r.Model, Version: r.Version}}
		doc = doc.WithRating(key, r.Score)
	}
	data, err := json.Marshal(doc)
	return ratings[len(ratings)-1].Seq, data, err
}

// writeBills writes a batch of bills in a goroutine of its own.
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
			l.Log.Debug().Err(err).Msg("control: writing bills failed")
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

// pollers request load reports from the backend servers.
type pollers struct {
	post   func(event)
	client *http.Client
}

const pollTimeout = time.Second

// maxIdlePollConns is the maximum number of idle connections kept for polls.
const maxIdlePollConns = 256

func newPollers(post func(event)) *pollers {
	return &pollers{
		post:   post,
		client: &http.Client{Timeout: pollTimeout, Transport: &http.Transport{MaxIdleConns: maxIdlePollConns, MaxIdleConnsPerHost: 1}},
	}
}

func (p *pollers) poll(ctx context.Context, b *backend) {
	e := reportEvent{server: b.vm.ID, sentAt: time.Now(), ownInFlight: int(b.state.InFlight.Load())}
	url := "http://" + b.vm.Addr + wire.PathLoad
	go func() {
		e.report, e.err = p.fetchLoad(ctx, url)
		p.post(e)
	}()
}

func (p *pollers) fetchLoad(ctx context.Context, url string) (wire.LoadReport, error) {
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
