// Package supervise runs the parts of a daemon as a supervisor tree that outlives
// the wish to stop until a planned stop is through.
package supervise

import (
	"context"
	"errors"

	"github.com/thejerf/suture/v4"
)

// Part is a part of a daemon, as the supervisor sees it.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve runs the part. One that ends without an error has done its work.
func (p Part) Serve(ctx context.Context) error {
	if err := p.Run(ctx); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// String names the part in the supervisor's messages.
func (p Part) String() string { return p.Name }

// Run runs a tree until ctx ends, has the daemon stop as planned while its parts
// still run, and then ends them. It calls started once they run.
func Run(ctx context.Context, tree *suture.Supervisor, started, stop func()) error {
	parts, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := tree.ServeBackground(parts)
	started()
	select {
	case err := <-ended:
		return err
	case <-ctx.Done():
	}
	stop()
	cancel()
	if err := <-ended; err != nil && !errors.Is(err, context.Canceled) {
		return err
	}
	return nil
}
