package standin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"ladderridge.example/platform/standin"
)

// Site is a small fake of the users' platform on which gateways can be tried out: a store, model
// servers and a plain service, with a configuration that routes to them.
type Site struct {
	// StoreAddr is the listen address of the store.
	StoreAddr string
	// ServerAddrs are the listen addresses of the servers. The last one is the plain
	// service, the others are model servers.
	ServerAddrs []string
	// Hall is the data hall of all servers.
	Hall string
}

// The host of a site, its only API key, and the prefixes and limits of its routes.
const (
	SiteHost   = "site.example"
	SiteKey    = "key-of-the-site"
	SiteChat   = "/chat/"
	SiteCall   = "/call/"
	siteLimit  = 5 * time.Second
	siteEvents = 8
	siteSlots  = 32
)

// Run serves the site until ctx ends.
func (s *Site) Run(ctx context.Context) error {
	store := standin.NewStore()
	err := store.SetConfig(standin.Config{
		Number: 1, Host: SiteHost, Keys: map[string][]string{"site": {SiteKey}},
		Routes: []standin.Route{
			{Name: "chat", Prefix: SiteChat, Kind: standin.Streaming, Service: "models", Attempts: 3, Limit: siteLimit, Cascade: []string{"small", "large"}},
			{Name: "call", Prefix: SiteCall, Kind: standin.Unsafe, Service: "plain", Attempts: 1, Limit: siteLimit},
		},
	})
	if err != nil {
		return err
	}
	failed := make(chan error, 1+len(s.ServerAddrs))
	go func() { failed <- serve(ctx, s.StoreAddr, store) }()
	for i, addr := range s.ServerAddrs {
		r := &standin.Runner{ID: fmt.Sprintf("server-%d", i+1), Slots: siteSlots, Work: 5 * time.Millisecond}
		service := "plain"
		if i < len(s.ServerAddrs)-1 {
			service = "models"
			r.Events, r.Confidence = siteEvents, map[string]int{"small": 40, "large": 90}
		}
		if err := store.SetServer(r.ID, standin.Entry{Service: service, Addr: addr, Hall: s.Hall, Version: "v1", Slots: siteSlots}); err != nil {
			return err
		}
		go func() { failed <- serve(ctx, addr, r) }()
	}
	for range cap(failed) {
		if err := <-failed; err != nil {
			return err
		}
	}
	return nil
}

// serve runs an HTTP server at an address until ctx ends.
func serve(ctx context.Context, addr string, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: siteLimit}
	defer context.AfterFunc(ctx, func() { _ = s.Close() })()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// describe returns a description of a failed or incomplete response.
func describe(r standin.Reply) string {
	switch {
	case r.Status == 0:
		return fmt.Sprintf("no response: %v", r.Err)
	case r.Err != nil:
		return fmt.Sprintf("status %d, interrupted: %v", r.Status, r.Err)
	}
	return fmt.Sprintf("status %d %s", r.Status, strings.TrimSpace(r.Body))
}

// Summary counts the outcomes of the requests to a site.
type Summary struct {
	Sent     int
	Complete int
	Refused  int
	// Others counts the other outcomes, by their description.
	Others map[string]int
}

// CallSite sends n requests to the gateways at the addresses in turn and counts the
// outcomes. Every second request is a chat.
func CallSite(ctx context.Context, addrs []string, n int) Summary {
	client := &http.Client{}
	out := Summary{Others: map[string]int{}}
	for i := range n {
		c := standin.Call{ID: fmt.Sprintf("ask-%d-%d", time.Now().UnixNano(), i), Method: http.MethodPost, Host: SiteHost, Target: SiteCall, Key: SiteKey, Body: "ask", Wait: siteLimit}
		if i%2 == 0 {
			c.Target, c.Model, c.Session = SiteChat, "*", fmt.Sprintf("session-%d", i%10)
		}
		r := c.Send(ctx, client, addrs[i%len(addrs)])
		out.Sent++
		if r.Status == http.StatusOK && r.Complete && r.Err == nil {
			out.Complete++
			continue
		}
		if r.NotRun() {
			out.Refused++
		}
		out.Others[describe(r)]++
	}
	return out
}
