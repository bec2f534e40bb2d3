package node

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// leaveTimeout bounds the last usage flush and the leave record of a shutdown.
// While the log is down, the other hosts learn of the departure from the
// platform's host list.
const leaveTimeout = 5 * time.Second

// run serves until the context ends and then shuts down gracefully.
func (n *node) run(ctx context.Context) error {
	// The components run on their own context: requests that are still in
	// progress when ctx ends need them.
	workCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	operators := n.operatorServer()
	group, workCtx := errgroup.WithContext(workCtx)
	group.Go(func() error { return n.control.Run(workCtx) })
	group.Go(func() error { return n.rpc.Serve() })
	group.Go(func() error { n.limiter.Run(workCtx); return nil })
	group.Go(func() error { n.fleetView.Run(workCtx); return nil })
	group.Go(func() error { n.fleet.Run(workCtx); return nil })
	group.Go(func() error { return n.flusher.Run(workCtx) })
	n.log.Info("serving", zap.String("whom", "callers"), zap.String("address", n.callers.Address()))
	group.Go(n.callers.Serve)
	group.Go(func() error { return n.serveOperators(operators) })
	group.Go(func() error {
		select {
		case <-ctx.Done():
			n.shutDown(workCtx)
		case <-workCtx.Done():
		}
		stop()
		_ = n.callers.Close()
		_ = operators.Close()
		n.peers.Close()
		return n.rpc.Close()
	})
	err := group.Wait()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (n *node) serveOperators(server *http.Server) error {
	n.log.Info("serving", zap.String("whom", "operators"), zap.Stringer("address", n.operators.Addr()))
	err := server.Serve(n.operators)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return eris.Wrap(err, "serve operators")
}

// shutDown fails the readiness check, waits for ShutdownDelay so that load balancers
// stop sending requests, completes the requests in progress, flushes the remaining
// usage and writes the leave record. The host stays a member until its requests are
// complete, since only members can record usage and outcomes.
func (n *node) shutDown(ctx context.Context) {
	deadline := time.Now().Add(n.settings.Timings.ShutdownTime)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	n.log.Info("shutting down")
	n.stopping.Store(true)
	sleepContext(ctx, n.settings.Timings.ShutdownDelay)
	if err := n.handler.Drain(ctx); err != nil {
		n.log.Warn("requests were still running at the end of the shutdown time", zap.Error(err))
	}
	remaining, err := n.callers.Stop(deadline)
	if err != nil || remaining > 0 {
		n.log.Warn("caller connections were still in use at the end of the shutdown time", zap.Int("connections", remaining), zap.Error(err))
	}
	leaveCtx, cancelLeave := context.WithTimeout(ctx, leaveTimeout)
	defer cancelLeave()
	if err := n.flusher.Flush(leaveCtx); err != nil {
		n.log.Warn("usage was not flushed", zap.Error(err))
	}
	if err := n.control.Leave(leaveCtx); err != nil {
		n.log.Warn("the leave record was not confirmed", zap.Error(err))
	}
}

func sleepContext(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
