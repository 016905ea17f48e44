package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"

	"ladderridge.example/daemon/load"
)

func loadCommand() *cobra.Command {
	var p load.Plan
	cmd := &cobra.Command{
		Use:   "load",
		Short: "Send chat requests to daemons and check every answer",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if len(p.Targets) == 0 {
				return usageError("set the daemons' URLs with --target")
			}
			r := p.Run(cmd.Context())
			printResult(r)
			if r.Broken > 0 || r.VersionChanges > 0 {
				return usageError("some answers were broken, or sessions moved to another version")
			}
			return nil
		},
	}
	cmd.Flags().StringSliceVar(&p.Targets, "target", nil, "base URLs of daemons, used in rotation")
	cmd.Flags().StringVar(&p.Key, "key", "", "the organisation's key")
	cmd.Flags().StringVar(&p.Model, "model", "auto", "the model to request")
	cmd.Flags().BoolVar(&p.Stream, "stream", false, "stream the answers")
	cmd.Flags().IntVar(&p.MaxTokens, "tokens", 0, "length of each answer in tokens; 0 leaves it to the engine")
	cmd.Flags().IntVarP(&p.Requests, "requests", "n", 100, "number of requests to send")
	cmd.Flags().IntVar(&p.Workers, "workers", 4, "number of concurrent workers")
	cmd.Flags().IntVar(&p.Sessions, "sessions", 0, "number of sessions to spread the requests over; 0 is none")
	cmd.Flags().DurationVar(&p.Pause, "pause", 0, "how long a worker waits between two requests")
	return cmd
}

// printResult prints the result as lines of the form `name: value unit`.
func printResult(r load.Result) {
	fmt.Printf("sent: %d requests\nanswered whole: %d requests\nrefused: %d requests\nbroken: %d requests\ntokens: %d tokens\n",
		r.Sent, r.Complete, r.Refused, r.Broken, r.Tokens)
	for _, v := range slices.Sorted(maps.Keys(r.Versions)) {
		fmt.Printf("version %s: %d requests\n", v, r.Versions[v])
	}
	for _, c := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Printf("refused %s: %d requests\n", c, r.Codes[c])
	}
	fmt.Printf("rate: %.0f requests/s\n", float64(r.Sent)/r.Elapsed.Seconds())
	printLatency("first token", r.FirstToken)
	printLatency("whole answer", r.Total)
	for _, id := range r.Requests[max(0, len(r.Requests)-2):] {
		fmt.Println("request:", id)
	}
}

func printLatency(name string, h *hdrhistogram.Histogram) {
	for _, q := range []float64{50, 95, 99} {
		fmt.Printf("%s p%g: %v\n", name, q, time.Duration(h.ValueAtQuantile(q))*time.Microsecond)
	}
}
