package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/standin"
)

func standinCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "standin", Short: "Run a test stand-in for the platform, an engine or a plain service"}
	cmd.AddCommand(standinPlatform(), standinEngine(), standinService(), standinFault(), standinSite(), standinCallers())
	return cmd
}

// serveHTTP serves until ctx ends.
func serveHTTP(ctx context.Context, addr string, h http.Handler) error {
	l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", addr)
	if err != nil {
		return err
	}
	fmt.Println("listening on", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		<-ctx.Done()
		_ = s.Close()
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func standinPlatform() *cobra.Command {
	var addr, vms string
	cmd := &cobra.Command{
		Use:   "platform",
		Short: "Table service, object store, VM list and rating service",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			p := standin.NewPlatform()
			if vms != "" {
				list, err := readVMs(vms)
				if err != nil {
					return err
				}
				p.SetVMs(list)
			}
			return serveHTTP(cmd.Context(), addr, p.Handler())
		},
	}
	cmd.Flags().StringVar(&addr, "listen", "127.0.0.1:9000", "address to listen on")
	cmd.Flags().StringVar(&vms, "vms", "", "JSON file with the initial list of VMs")
	return cmd
}

func readVMs(path string) ([]platform.VM, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []platform.VM
	return list, json.Unmarshal(data, &list)
}

func standinEngine() *cobra.Command {
	var e standin.Engine
	var addr string
	cmd := &cobra.Command{
		Use:   "engine",
		Short: "A model engine with one version loaded",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveHTTP(cmd.Context(), addr, e.Handler())
		},
	}
	cmd.Flags().StringVar(&addr, "listen", "127.0.0.1:9100", "address to listen on")
	cmd.Flags().StringVar(&e.ID, "id", "engine", "ID of the VM")
	cmd.Flags().StringVar(&e.Model, "model", "roster", "the model")
	cmd.Flags().StringVar(&e.Version, "model-version", "v1", "the version")
	cmd.Flags().DurationVar(&e.TokenInterval, "pace", 5*time.Millisecond, "time between two tokens")
	cmd.Flags().DurationVar(&e.Prefill, "prefill", 0, "time to the first token of a prompt that is not cached")
	cmd.Flags().IntVar(&e.PrefixCacheSize, "prefixes", 0, "number of prompt prefixes that the prefix cache holds")
	cmd.Flags().DurationVar(&e.ReportLag, "report-lag", 0, "maximum age of the load in a report")
	cmd.Flags().IntVar(&e.Slots, "slots", 0, "number of versions that fit; 0 is unknown")
	cmd.Flags().DurationVar(&e.LoadTime, "load-time", 0, "time to load a version")
	cmd.Flags().BoolVar(&e.ChecksFence, "checks-fence", false, "refuse orders with an outdated fencing token")
	cmd.Flags().IntVar(&e.Batch, "batch", 0, "maximum number of concurrent requests; 0 is no limit")
	cmd.Flags().Float64Var(&e.Quality, "quality", 0.9, "quality of the answers, from 0 to 1")
	return cmd
}

func standinService() *cobra.Command {
	var s standin.Service
	var addr string
	cmd := &cobra.Command{
		Use:   "service",
		Short: "A plain service that counts its calls",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			return serveHTTP(cmd.Context(), addr, s.Handler())
		},
	}
	cmd.Flags().StringVar(&addr, "listen", "127.0.0.1:9200", "address to listen on")
	cmd.Flags().StringVar(&s.ID, "id", "service", "ID of the VM")
	return cmd
}

func standinFault() *cobra.Command {
	return &cobra.Command{
		Use:   "fault ADDRESS JSON",
		Short: `Set a stand-in's fault, such as '{"service":"table","down":true}' or '{"leaving":true}'`,
		Args:  cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := http.NewRequestWithContext(cmd.Context(), http.MethodPost, "http://"+args[0]+standin.PathFaults, bytes.NewReader([]byte(args[1])))
			if err != nil {
				return err
			}
			resp, err := http.DefaultClient.Do(r)
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			if resp.StatusCode != http.StatusNoContent {
				return usageError("the stand-in refused the fault: " + resp.Status)
			}
			return nil
		},
	}
}
