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

// askTimeout bounds one question to a daemon.
const askTimeout = 5 * time.Second

// ask gets a JSON answer from a daemon's admin address.
func ask[T any](ctx context.Context, addr, path string) (T, error) {
	var out T
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
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

// askAny asks daemons in turn until one answers.
func askAny[T any](ctx context.Context, addrs []string, path string) (T, error) {
	var out T
	errs := []error{usageError("no daemon answered: name some with --admin or " + envAdmin)}
	for _, addr := range addrs {
		out, err := ask[T](ctx, addr, path)
		if err == nil {
			return out, nil
		}
		errs = append(errs, err)
	}
	return out, errors.Join(errs...)
}
