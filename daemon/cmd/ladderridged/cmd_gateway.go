package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/gateway"
	"ladderridge.example/daemon/settings"
	"ladderridge.example/platform"
)

// gatewayCommand serves routed services on the users' platform.
func gatewayCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Serve the routed services of a platform that hands out the configuration",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serveGateway(cmd.Context(), path) },
	}
	standard := platform.SettingsFile()
	if standard == "" {
		standard = "/etc/ladderridge/gateway.ini"
	}
	cmd.PersistentFlags().StringVarP(&path, "config", "c", standard, "settings file")
	cmd.AddCommand(&cobra.Command{
		Use:   "check-config",
		Short: "Check a gateway's settings file and list all of its faults",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadGateway(path); err != nil {
				return err
			}
			cmd.Println(path + " is right")
			return nil
		},
	})
	return cmd
}

// garbagePercent is how much garbage may gather before it is collected, in terms
// of what is in use: a gateway holds little, so that half of the standard saves a
// tenth of its memory for a fifth more of the little processor time it takes.
const garbagePercent = 50

// serveGateway runs the daemon. SIGUSR1 writes its state to the log, SIGHUP has
// the settings read again.
func serveGateway(ctx context.Context, path string) error {
	s, err := settings.LoadGateway(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(garbagePercent)
	g := gateway.New(s)
	g.Start = uint64(time.Now().UnixNano())
	g.Load = func() (*settings.Gateway, error) { return settings.LoadGateway(path) }
	store := platform.NewStore(s.StoreURL)
	g.Platform = gateway.Platform{
		Store: store, DutyRows: store, Decoder: platform.Rows{}, Dialect: platform.Dialect{}, ReadyPath: platform.ReadyPath,
		FrontEnd: func(cfg gateway.FrontEndConfig) http.Handler {
			return &platform.FrontEnd{Engine: cfg.Engine, BodyLimit: cfg.BodyLimit, Closing: cfg.Closing}
		},
	}
	takeDuties(g, s)
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1, syscall.SIGHUP)
	defer signal.Stop(signals)
	go func() {
		for sig := range signals {
			switch sig {
			case syscall.SIGUSR1:
				g.LogDump()
			case syscall.SIGHUP:
				g.Reload()
			}
		}
	}()
	return g.Run(ctx)
}

// takeDuties hands the daemon the platform's interface for duties, if there is one.
func takeDuties(g *gateway.Gateway, s *settings.Gateway) {
	if s.DutiesURL == "" || s.Duties == "" {
		return
	}
	names, unknown := platform.DutyNames(strings.Split(s.Duties, ","))
	if len(unknown) > 0 {
		fmt.Fprintf(os.Stderr, "ladderridged: duties that are not known are left alone: %s\n", strings.Join(unknown, ", "))
	}
	g.Platform.Duties, g.Platform.DutyNames = platform.NewDuties(s.DutiesURL), names
}
