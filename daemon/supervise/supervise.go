// Package supervise runs the parts of a daemon as a supervisor tree. After a request
// to stop, the parts keep running until a planned stop is complete.
package supervise

import (
	"context"
	"errors"

	"github.com/thejerf/suture/v4"
)

// Part is a part of a daemon that the supervisor runs and restarts.
type Part struct {
	Name string
	Run  func(ctx context.Context) error
}

// Serve implements suture.Service. A part that ends without an error is not restarted.
func (p Part) Serve(ctx context.Context) error {
	if err := p.Run(ctx); err != nil {
		return err
	}
	return suture.ErrDoNotRestart
}

// String returns the name of the part for the supervisor's messages.
func (p Part) String() string { return p.Name }

// Run runs the tree until ctx ends, calls stop while the parts still run, and then
// ends them. It calls started once the tree has been started.
func Run(ctx context.Context, tree *suture.Supervisor, started, stop func()) error {
	partsCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ended := tree.ServeBackground(partsCtx)
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
