package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// requestTimeout is the timeout of one request to a daemon.
const requestTimeout = 5 * time.Second

// getJSON fetches a path from a daemon's admin address and decodes the JSON answer.
func getJSON[T any](ctx context.Context, addr, path string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return out, err
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}
	if resp.StatusCode != http.StatusOK {
		return out, fmt.Errorf("%s: %s", addr, data)
	}
	return out, json.Unmarshal(data, &out)
}

// getJSONFromAny sends the request to the daemons one after another until one answers.
func getJSONFromAny[T any](ctx context.Context, addrs []string, path string) (T, error) {
	var out T
	errs := []error{usageError("no daemon answered: set their addresses with --admin or " + envAdmin)}
	for _, addr := range addrs {
		out, err := getJSON[T](ctx, addr, path)
		if err == nil {
			return out, nil
		}
		errs = append(errs, err)
	}
	return out, errors.Join(errs...)
}
