package main

import (
	"net/http"
	"os"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/platform"
	"ladderridge.example/daemon/tablestore"
)

// The environment variables that stand in for flags.
const (
	envPlatform = "LADDERRIDGE_PLATFORM"
	envAdmin    = "LADDERRIDGE_ADMIN"
)

// platformFlag adds the flag that names the platform.
func platformFlag(cmd *cobra.Command) *string {
	return cmd.PersistentFlags().String("platform", os.Getenv(envPlatform), "the platform's URL (or "+envPlatform+")")
}

// adminFlag adds the flag that names daemons' admin addresses.
func adminFlag(cmd *cobra.Command) *[]string {
	var standard []string
	if env := os.Getenv(envAdmin); env != "" {
		standard = append(standard, splitList(env)...)
	}
	return cmd.Flags().StringSlice("admin", standard, "daemons' admin addresses (or "+envAdmin+")")
}

func openStore(url string) (*tablestore.Store, error) {
	if url == "" {
		return nil, usageError("name the platform with --platform or " + envPlatform)
	}
	return &tablestore.Store{Platform: &platform.Client{URL: url, HTTP: &http.Client{}}}, nil
}

// usageError is a command line that cannot be carried out.
type usageError string

// Error implements the error interface.
func (e usageError) Error() string { return string(e) }
