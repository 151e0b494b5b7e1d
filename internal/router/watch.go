package router

import (
	"context"
	"errors"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/policy"
)

const (
	// maxUnusableReplies bounds the watches that the loop retries in a row, after replies that can't
	// be used, before it leaves the next one to the policy.
	maxUnusableReplies = 2
	// movedRetryTime is how long after a move the loop retries each failed watch by itself, and lets
	// the watch at the replaced service run. Changes count as notified then.
	movedRetryTime policy.Time = 4_000_000
	// maxReplacedWatches bounds the watches at replaced services, each of which takes a descriptor.
	maxReplacedWatches = 4
	// failureLineInterval is the least time between two log lines about failed watches.
	failureLineInterval policy.Time = 10_000_000
)

// startWatch opens a watch for changes of the endpoint list, unless one is open.
func (l *eventLoop) startWatch() {
	if l.watching {
		return
	}
	l.watching = true
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancelWatch = cancel
	w := watch{l.discovery, l.moves}
	go func(version int64) {
		defer cancel()
		l.runWatch(ctx, w, version)
	}(l.endpointsVersion)
}

// watch is a series of calls to one discovery service.
type watch struct {
	client *discovery.Client
	moves  int // to another service before the watch began
}

// runWatch runs a watch until it fails. Unlike the other methods it runs in a
// goroutine of its own.
func (l *eventLoop) runWatch(ctx context.Context, w watch, version int64) {
	err := w.client.Watch(ctx, version, func(list discovery.EndpointList) {
		l.post(func() { l.listReceived(w, list) })
	})
	l.post(func() { l.watchEnded(w, err) })
}

// listReceived applies a list, unless a service that replaced the one it comes from has delivered a
// list before.
func (l *eventLoop) listReceived(w watch, list discovery.EndpointList) {
	if w.moves < l.movesAtList {
		return
	}
	l.movesAtList = w.moves
	if w.moves < l.moves {
		l.applyReplacedEndpoints(list)
		return
	}
	l.cancelReplacedWatches(0)
	l.applyEndpoints(list, list.Kind())
}

// watchEnded handles the end of a watch. The failure of one at a replaced service is of no consequence.
func (l *eventLoop) watchEnded(w watch, err error) {
	if w.moves < l.moves {
		w.client.CloseIdleConnections()
		return
	}
	l.watchFailed(err)
}

// cancelReplacedWatches ends the oldest watches at replaced services, but for the given number.
func (l *eventLoop) cancelReplacedWatches(remaining int) {
	for len(l.replacedWatchCancels) > remaining {
		l.replacedWatchCancels[0]()
		l.replacedWatchCancels = l.replacedWatchCancels[1:]
	}
}

// watchFailed arranges the next watch: by a retry of the loop's own, or by telling the policy, which
// opens it at its own pace.
func (l *eventLoop) watchFailed(err error) {
	l.watching = false
	l.startTimes.contactLost()
	l.logWatchFailure(err)
	if errors.Is(err, discovery.ErrOutOfOrder) {
		l.endpointsVersion = discovery.NoVersion // the same call would get the same response for ever
	}
	if l.retriesWatch(err) {
		l.retriesInARow++
		l.scheduleAfter(l.watchBackoff.Next(l.cfg.Settings.DrainGrace), l.startWatch)
		return
	}
	l.retriesInARow = 0
	l.watchBackoff.Reset()
	l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: policy.UpdateFailed})
}

// retriesWatch reports whether the loop itself retries a failed watch. It always does where the
// policy opens none. Elsewhere the policy's backoff may be as long as the notification deadline
// allows, as it spares a service that is down, and the call that failed may have been the first one
// since the service is back. A fault of this machine or in the service's reply must not cost as much
// again, and after a move less time is left.
func (l *eventLoop) retriesWatch(err error) bool {
	if !l.cfg.Settings.WatchRequired || l.movedAt > 0 && l.now < l.movedAt+movedRetryTime {
		return true
	}
	switch discovery.ClassifyFailure(err) {
	case discovery.LocalFault:
		return true // at no cost for the service
	case discovery.UnusableReply:
		return l.retriesInARow < maxUnusableReplies
	default:
		return false
	}
}

// logWatchFailure logs why a watch failed, unless a line like it was logged a moment ago.
func (l *eventLoop) logWatchFailure(err error) {
	if l.now < l.nextFailureLine {
		return
	}
	l.nextFailureLine = l.now + failureLineInterval
	l.logger.Warn("discovery watch failed", "error", err)
}

// moveDiscovery replaces the client of the discovery service by one with
// another address. Where a watch has no cost it starts from a snapshot, as the
// versions of the other service may differ.
func (l *eventLoop) moveDiscovery(cfg *config.Config) {
	l.logger.Info("discovery moves", "to", cfg.Discovery)
	l.retainReplacedWatch()
	l.startTimes.contactLost()
	l.discovery.CloseIdleConnections()
	l.discovery = newDiscoveryClient(cfg)
	l.moves++
	l.watching = false
	l.watchBackoff.Reset()
	l.movedAt = l.now
	l.nextFailureLine = l.now
	if !l.cfg.Settings.WatchRequired {
		l.endpointsVersion = discovery.NoVersion
	}
	l.startWatch()
}

// retainReplacedWatch leaves the open watch running for a while, as the service may have written a
// list that the router has not read. Of several moves in a row only the last watches are left.
func (l *eventLoop) retainReplacedWatch() {
	if !l.watching {
		return
	}
	l.replacedWatchCancels = append(l.replacedWatchCancels, l.cancelWatch)
	l.cancelReplacedWatches(maxReplacedWatches)
	l.scheduleAfter(movedRetryTime, l.cancelWatch)
}
