package main

import (
	"errors"
	"maps"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/standin"
)

// standinSite returns the command that runs a stand-in platform for gateways: its
// store and its servers.
func standinSite() *cobra.Command {
	s := &standin.Site{}
	var servers string
	cmd := &cobra.Command{
		Use:   "site",
		Short: "A platform for gateways: its store, model servers and a plain service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			s.ServerAddrs = strings.Split(servers, ",")
			return s.Run(cmd.Context())
		},
	}
	cmd.Flags().StringVar(&s.StoreAddr, "store", "127.0.0.1:9300", "address of the store")
	cmd.Flags().StringVar(&servers, "servers", "127.0.0.1:9301,127.0.0.1:9302,127.0.0.1:9303", "addresses of the servers; the last one is the plain service")
	cmd.Flags().StringVar(&s.Hall, "hall", "hall", "data hall of the servers")
	return cmd
}

// standinCallers returns the command that sends requests to the gateways of such a
// platform and checks the answers.
func standinCallers() *cobra.Command {
	var targets string
	var n int
	cmd := &cobra.Command{
		Use:   "callers",
		Short: "Send requests to the gateways of a stand-in site, and fail unless every answer is complete",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			t := standin.CallSite(cmd.Context(), strings.Split(targets, ","), n)
			cmd.Printf("sent: %d, answered whole: %d, refused: %d\n", t.Sent, t.Complete, t.Refused)
			for _, what := range slices.Sorted(maps.Keys(t.Others)) {
				cmd.Printf("%d times: %s\n", t.Others[what], what)
			}
			if t.Complete != t.Sent {
				return errors.New("not every request got a complete answer: look for the request IDs in the gateways' logs")
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&targets, "target", "127.0.0.1:8080", "addresses of the gateways")
	cmd.Flags().IntVarP(&n, "requests", "n", 100, "number of requests")
	return cmd
}
