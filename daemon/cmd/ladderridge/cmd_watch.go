package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/admin"
	"ladderridge.example/daemon/record"
)

// filter selects the decisions to watch; empty fields match all.
type filter struct {
	organisation string
	version      string
	run          string
	asJSON       bool
}

func watchCommand() *cobra.Command {
	var f filter
	cmd := &cobra.Command{Use: "watch", Short: "Print decisions as they are made", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.Flags().StringVar(&f.organisation, "organisation", "", "only this organisation")
	cmd.Flags().StringVar(&f.version, "version", "", "only this version, such as roster@v2")
	cmd.Flags().StringVar(&f.run, "run", "", "only this outcome: not_run, done or unknown")
	cmd.Flags().BoolVar(&f.asJSON, "json", false, "print one JSON object per line")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*admins) == 0 {
			return usageError("set the daemons' addresses with --admin or " + envAdmin)
		}
		return f.watchAll(cmd.Context(), *admins)
	}
	return cmd
}

func (f filter) watchAll(ctx context.Context, addrs []string) error {
	var mu sync.Mutex
	var wg sync.WaitGroup
	errs := make([]error, len(addrs))
	for i, addr := range addrs {
		wg.Go(func() { errs[i] = f.watch(ctx, addr, &mu) })
	}
	wg.Wait()
	if ctx.Err() == nil {
		return errors.Join(errs...)
	}
	// The user ends the command with an interrupt, which is no error.
	return nil
}

func (f filter) watch(ctx context.Context, addr string, mu *sync.Mutex) error {
	q := url.Values{"organisation": {f.organisation}, "version": {f.version}, "run": {f.run}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+admin.PathWatch+"?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var rec record.Record
		if err := json.Unmarshal(lines.Bytes(), &rec); err != nil {
			return err
		}
		mu.Lock()
		if f.asJSON {
			fmt.Println(lines.Text())
		} else {
			fmt.Println(formatLine(rec))
		}
		mu.Unlock()
	}
	return lines.Err()
}

// formatLine formats a record as one formatLine.
func formatLine(r record.Record) string {
	target := r.Model
	if r.Service != "" {
		target = r.Service
	}
	out := fmt.Sprintf("%s %s %-10s %s", r.At.Format("15:04:05.000"), r.Request, r.Organisation, target)
	if r.Version != "" {
		out += " -> " + r.Version
	}
	out += fmt.Sprintf(" %d %s", r.Status, r.Run)
	if r.Code != "" {
		out += " " + r.Code
	}
	return out + fmt.Sprintf(" %d tokens %.1f ms", r.Tokens, r.DurationMS)
}
