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
		Short: "Send one request to a daemon and show its answer",
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
			return showAnswer(r)
		},
	}
	cmd.Flags().StringVar(&key, "key", "", "the organisation's key")
	cmd.Flags().StringVarP(&method, "method", "X", http.MethodPost, "the method")
	cmd.Flags().StringVarP(&data, "data", "d", "", "the body")
	cmd.Flags().StringArrayVarP(&headers, "header", "H", nil, "a header, as 'Name: value'")
	return cmd
}

// shownHeaders are the answer's headers that are worth seeing.
var shownHeaders = []string{wire.HeaderRequest, wire.HeaderRun, wire.HeaderVersion, wire.HeaderSession, wire.HeaderReplayed, "Retry-After"}

func showAnswer(r *http.Request) error {
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	fmt.Println(resp.Status)
	for _, name := range slices.Sorted(slices.Values(shownHeaders)) {
		if v := resp.Header.Get(name); v != "" {
			fmt.Printf("%s: %s\n", name, v)
		}
	}
	_, err = io.Copy(os.Stdout, resp.Body)
	fmt.Println()
	return err
}
