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
	var duration time.Duration
	cmd := &cobra.Command{Use: "trace", Short: "Write a daemon's decisions to standard output for replay", Args: cobra.NoArgs}
	admins := adminFlag(cmd)
	cmd.Flags().DurationVar(&duration, "for", 10*time.Second, "duration of the trace")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if len(*admins) != 1 {
			return usageError("set one daemon's address with --admin or " + envAdmin)
		}
		return copyTrace(cmd.Context(), (*admins)[0], duration)
	}
	return cmd
}

func copyTrace(ctx context.Context, addr string, duration time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, duration)
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

// copyLines copies complete lines until the duration of the trace is over. It drops
// the last line if it is incomplete.
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
		Short: "Replay the decisions of a trace and show the first one that differs",
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
			fmt.Printf("%d requests on %d views replayed: all decisions match the trace\n", res.Requests, res.Views)
			return nil
		},
	}
}
