package scaletest

// This file runs one point and returns its result.

import (
	"context"
	"os"
	"time"
)

// postOutageWindow is the time after an outage of discovery over which calls are counted.
const postOutageWindow = 2 * time.Second

// Run measures one point. The given program is run as the real router.
func Run(ctx context.Context, p Point, program string) (*Result, error) {
	if err := p.Validate(); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "scaletest")
	if err != nil {
		return nil, err
	}
	defer func() { _ = os.RemoveAll(dir) }() // files that are left behind do not affect the result
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &testbed{Point: p, onExit: cancel}
	defer t.stop()
	result, err := t.run(ctx, dir, program)
	if ctx.Err() != nil {
		return nil, context.Cause(ctx) // more specific than the errors that it causes
	}
	return result, err
}

func (t *testbed) run(ctx context.Context, dir, program string) (*Result, error) {
	if err := t.start(ctx, dir, program); err != nil {
		return nil, err
	}
	if err := sleep(ctx, t.Warmup); err != nil {
		return nil, err
	}
	before, err := t.takeSample()
	if err != nil {
		return nil, err
	}
	if err := sleep(ctx, t.Window); err != nil {
		return nil, err
	}
	after, err := t.takeSample()
	if err != nil {
		return nil, err
	}
	result := newResult(&t.Point, before, after)
	if t.Outage > 0 {
		return result, t.measureOutage(ctx, result)
	}
	return result, nil
}

// measureOutage takes discovery down for the time of the outage and adds the rates of the routers' calls
// during the outage and after it.
func (t *testbed) measureOutage(ctx context.Context, result *Result) error {
	var down, up, after []DiscoveryStats
	if err := t.discovery.do(commandDiscoveryDown, &down); err != nil {
		return err
	}
	if err := sleep(ctx, t.Outage); err != nil {
		return err
	}
	if err := t.discovery.do(commandDiscoveryUp, &up); err != nil {
		return err
	}
	if err := sleep(ctx, postOutageWindow); err != nil {
		return err
	}
	if err := t.discovery.do(commandCount, &after); err != nil {
		return err
	}
	callsPerRouter := func(from, to []DiscoveryStats, elapsed time.Duration) float64 {
		return float64(to[groupHollow].Calls-from[groupHollow].Calls) / float64(t.hollowRouters()) / elapsed.Seconds()
	}
	whileDown, atReturn := callsPerRouter(down, up, t.Outage), callsPerRouter(up, after, postOutageWindow)
	result.add(roleDiscovery, "calls a router while it is down", unitPerSecond, whileDown, basisMeasured)
	result.add(roleDiscovery, "calls a router at its return", unitPerSecond, atReturn, basisMeasured)
	return nil
}
