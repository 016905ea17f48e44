package main

import (
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/tablestore"
)

// Environment variables that set the defaults of flags.
const (
	envPlatform = "LADDERRIDGE_PLATFORM"
	envAdmin    = "LADDERRIDGE_ADMIN"
)

// platformFlag adds the flag for the platform's URL.
func platformFlag(cmd *cobra.Command) *string {
	return cmd.PersistentFlags().String("platform", os.Getenv(envPlatform), "the platform's URL (or "+envPlatform+")")
}

// adminFlag adds the flag for the daemons' admin addresses.
func adminFlag(cmd *cobra.Command) *[]string {
	var defaults []string
	if env := os.Getenv(envAdmin); env != "" {
		defaults = append(defaults, splitList(env)...)
	}
	return cmd.Flags().StringSlice("admin", defaults, "daemons' admin addresses (or "+envAdmin+")")
}

func openStore(url string) (*tablestore.Store, error) {
	if url == "" {
		return nil, usageError("set the platform's URL with --platform or " + envPlatform)
	}
	return &tablestore.Store{Platform: &platform.Client{URL: url, HTTP: &http.Client{}}}, nil
}

// usageError reports a command that cannot be carried out, for example because a
// flag is missing.
type usageError string

// Error implements the error interface.
func (e usageError) Error() string { return string(e) }
