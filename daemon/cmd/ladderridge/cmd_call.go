package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"slices"
	"strings"

	"github.com/spf13/cobra"

	"ladderridge.example/daemon/wire"
)

func callCommand() *cobra.Command {
	var key, method, data string
	var headers []string
	cmd := &cobra.Command{
		Use:   "call URL",
		Short: "Send one request to a daemon and print its answer",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			r, err := http.NewRequestWithContext(cmd.Context(), method, args[0], strings.NewReader(data))
			if err != nil {
				return err
			}
			r.Header.Set("Authorization", "Bearer "+key)
			for _, h := range headers {
				name, value, ok := strings.Cut(h, ":")
				if !ok {
					return usageError("write headers as 'Name: value'")
				}
				r.Header.Set(strings.TrimSpace(name), strings.TrimSpace(value))
			}
			return printAnswer(r)
		},
	}
	cmd.Flags().StringVar(&key, "key", "", "the organisation's key")
	cmd.Flags().StringVarP(&method, "method", "X", http.MethodPost, "the HTTP method")
	cmd.Flags().StringVarP(&data, "data", "d", "", "the request body")
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header, as 'Name: value'")
	return cmd
}

// printedHeaders are the headers of the answer that are printed.
var printedHeaders = []string{wire.HeaderRequest, wire.HeaderRun, wire.HeaderVersion, wire.HeaderSession, wire.HeaderReplayed, "Retry-After"}

func printAnswer(r *http.Request) error {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Println(resp.Status)
	for _, name := range slices.Sorted(slices.Values(printedHeaders)) {
		if v := resp.Header.Get(name); v != "" {
			fmt.Printf("%s: %s\n", name, v)
		}
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	fmt.Println()
	return err
}
