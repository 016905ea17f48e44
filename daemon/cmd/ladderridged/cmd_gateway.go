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

// gatewayCommand returns the command that serves the routed services of a platform.
func gatewayCommand() *cobra.Command {
	var path string
	cmd := &cobra.Command{
		Use:   "gateway",
		Short: "Serve the routed services of a platform that distributes the configuration",
		Args:  cobra.NoArgs,
		RunE:  func(cmd *cobra.Command, _ []string) error { return serveGateway(cmd.Context(), path) },
	}
	defaultPath := platform.SettingsFile()
	if defaultPath == "" {
		defaultPath = "/etc/ladderridge/gateway.ini"
	}
	cmd.PersistentFlags().StringVarP(&path, "config", "c", defaultPath, "settings file")
	cmd.AddCommand(&cobra.Command{
		Use:   "check-config",
		Short: "Check a gateway's settings file and list all of its errors",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.LoadGateway(path); err != nil {
				return err
			}
			cmd.Println(path + " is valid")
			return nil
		},
	})
	return cmd
}

// gcPercent is the garbage collector's target percentage (GOGC). The live heap
// of a gateway is small: half of the default saves a tenth of its memory and costs
// a fifth more processor time, of which a gateway uses little.
const gcPercent = 50

// serveGateway runs the daemon until ctx ends. SIGUSR1 writes its state to the log,
// SIGHUP reloads the settings.
func serveGateway(ctx context.Context, path string) error {
	s, err := settings.LoadGateway(path)
	if err != nil {
		return err
	}
	debug.SetGCPercent(gcPercent)
	g := gateway.New(s)
	g.Start = uint64(time.Now().UnixNano())
	g.ReadSettings = func() (*settings.Gateway, error) { return settings.LoadGateway(path) }
	g.Dial = serverDialer()
	store := platform.NewStore(s.StoreURL)
	g.Platform = gateway.Platform{
		Store: store, DutyRows: store, Decoder: platform.Rows{}, Dialect: platform.Dialect{}, ReadyPath: platform.ReadyPath,
		FrontEnd: func(cfg gateway.FrontEndConfig) http.Handler {
			return &platform.FrontEnd{Engine: cfg.Engine, BodyLimit: cfg.BodyLimit, Closing: cfg.Closing}
		},
	}
	configureDuties(g, s)
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

// configureDuties connects the daemon to the platform's interface for duties if the
// settings name one.
func configureDuties(g *gateway.Gateway, s *settings.Gateway) {
	if s.DutiesURL == "" || s.Duties == "" {
		return
	}
	names, unknown := platform.DutyNames(strings.Split(s.Duties, ","))
	if len(unknown) > 0 {
		fmt.Fprintf(os.Stderr, "ladderridged: ignoring unknown duties: %s\n", strings.Join(unknown, ", "))
	}
	g.Platform.Duties, g.Platform.DutyNames = platform.NewDuties(s.DutiesURL), names
}
