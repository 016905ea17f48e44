package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ladderridge.example/core/trace"
	"ladderridge.example/daemon/admin"
)

func traceCommand() *cobra.Command {
	var lasts time.Duration
	cmd := &cobra.Command{Use: "trace", Short: "Write a daemon's decisions to standard output, to be replayed", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.Flags().DurationVar(&lasts, "for", 10*time.Second, "how long")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*admins) != 1 {
			return usageError("name one daemon with --admin or " + envAdmin)
		}
		return copyTrace(cmd.Context(), (*admins)[0], lasts)
	}
	return cmd
}

func copyTrace(ctx context.Context, addr string, lasts time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, lasts)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+admin.PathTrace, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return copyLines(resp.Body)
}

// copyLines copies whole lines until the trace's time is over, which may cut
// the last one short.
func copyLines(from io.Reader) error {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if _, err := os.Stdout.Write(line); err != nil {
			return err
		}
	}
}

func replayCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "replay FILE",
		Short: "Decide the requests of a trace again and show the first that comes out otherwise",
		Args:  cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			f, err := os.Open(args[0])
			if err != nil {
				return err
			}
			defer f.Close()
			res, err := trace.Replay(f)
			if err != nil {
				return err
			}
			fmt.Printf("%d requests by %d views come out as stated\n", res.Requests, res.Views)
			return nil
		},
	}
}
