// Ladderridged is the daemon that routes callers' requests to backend servers. It
// coordinates with the other daemons.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/process"
	"ladderridge.example/daemon/settings"
)

// version is set by the build from version.txt.
var version = "unknown"

// Exit codes, documented in docs/OPERATIONS.md.
const (
	exitOK       = 0
	exitFailed   = 1
	exitSettings = 2
)

func main() { os.Exit(run()) }

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	err := rootCommand().ExecuteContext(ctx)
	var settingsErr *settings.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &settingsErr):
		fmt.Fprintln(os.Stderr, "ladderridged:", err)
		return exitSettings
	default:
		fmt.Fprintln(os.Stderr, "ladderridged:", err)
		return exitFailed
	}
}

func rootCommand() *cobra.Command {
	var path string
	root := &cobra.Command{
		Use:           "ladderridged --config FILE",
		Short:         "Route requests to model engines and plain services",
		Version:       version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE:          func(cmd *cobra.Command, _ []string) error { return serve(cmd.Context(), path) },
	}
	root.PersistentFlags().StringVarP(&path, "config", "c", "/etc/ladderridge/ladderridged.ini", "settings file")
	root.AddCommand(gatewayCommand(), &cobra.Command{
		Use:   "check-config",
		Short: "Check the settings file and list all of its errors",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if _, err := settings.Load(path); err != nil {
				return err
			}
			cmd.Println(path + " is valid")
			return nil
		},
	})
	return root
}

// serve runs the daemon until ctx ends. SIGUSR1 writes its state to the log.
func serve(ctx context.Context, path string) error {
	s, err := settings.Load(path)
	if err != nil {
		return err
	}
	p := &process.Process{Settings: s}
	dumps := make(chan os.Signal, 1)
	signal.Notify(dumps, syscall.SIGUSR1)
	defer signal.Stop(dumps)
	go func() {
		for range dumps {
			p.LogDump()
		}
	}()
	return p.Run(ctx)
}
