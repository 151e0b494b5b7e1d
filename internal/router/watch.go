package router

import (
	"context"
	"errors"

	"marlstage/internal/config"
	"marlstage/internal/discovery"
	"marlstage/policy"
)

const (
	// maxUnusableReplyRetries is the number of consecutive watches that the loop itself retries after unusable
	// replies. The next watch is left to the policy.
	maxUnusableReplyRetries = 2
	// moveRetryPeriod is the time after a move during which the loop itself retries each failed watch and
	// keeps the watch at the replaced service open. Changes count as notified after that time.
	moveRetryPeriod policy.Time = 4_000_000
	// maxReplacedWatches is the maximum number of watches at replaced services. Each uses a descriptor.
	maxReplacedWatches = 4
	// failureLogInterval is the minimum time between two log lines about failed watches.
	failureLogInterval policy.Time = 10_000_000
)

// startWatch opens a watch for changes of the endpoint list, unless one is open.
func (l *eventLoop) startWatch() {
	if l.watching {
		return
	}
	l.watching = true
	ctx, cancel := context.WithCancel(l.ctx)
	l.cancelWatch = cancel
	w := watch{l.discovery, l.discoveryGeneration}
	go func(version int64) {
		defer cancel()
		l.runWatch(ctx, w, version)
	}(l.endpointsVersion)
}

// watch is a series of calls to one discovery service.
type watch struct {
	client              *discovery.Client
	discoveryGeneration int // the event loop's when the watch began
}

// runWatch runs a watch until it fails. Unlike the other methods, it runs in its own goroutine.
func (l *eventLoop) runWatch(ctx context.Context, w watch, version int64) {
	err := w.client.Watch(ctx, version, func(list discovery.EndpointList) {
		l.post(func() { l.listReceived(w, list) })
	})
	l.post(func() { l.watchEnded(w, err) })
}

// listReceived applies a list, unless a newer service than the one that sent it has already sent a list.
func (l *eventLoop) listReceived(w watch, list discovery.EndpointList) {
	if w.discoveryGeneration < l.lastListGeneration {
		return
	}
	l.lastListGeneration = w.discoveryGeneration
	if w.discoveryGeneration < l.discoveryGeneration {
		l.applyReplacedEndpoints(list)
		return
	}
	l.cancelReplacedWatches(0)
	l.applyEndpoints(list, list.Kind())
}

// watchEnded handles the end of a watch. It ignores the failure of a watch at a replaced service.
func (l *eventLoop) watchEnded(w watch, err error) {
	if w.discoveryGeneration < l.discoveryGeneration {
		w.client.CloseIdleConnections()
		return
	}
	l.watchFailed(err)
}

// cancelReplacedWatches cancels the oldest watches at replaced services until the given number remains.
func (l *eventLoop) cancelReplacedWatches(remaining int) {
	for len(l.replacedWatchCancels) > remaining {
		l.replacedWatchCancels[0]()
		l.replacedWatchCancels = l.replacedWatchCancels[1:]
	}
}

// watchFailed prepares the next watch after a failure: the loop itself schedules a retry, or it notifies the
// policy, which opens a watch after its own backoff.
func (l *eventLoop) watchFailed(err error) {
	l.watching = false
	l.startTimes.noteContactLost()
	l.logWatchFailure(err)
	if errors.Is(err, discovery.ErrOutOfOrder) {
		l.endpointsVersion = discovery.NoVersion // the same call would always get the same response
	}
	if l.shouldRetryWatch(err) {
		l.watchRetries++
		l.scheduleAfter(l.watchBackoff.Next(l.cfg.Settings.DrainGrace), l.startWatch)
		return
	}
	l.watchRetries = 0
	l.watchBackoff.Reset()
	l.pendingEvents = append(l.pendingEvents, &policy.EndpointsUpdate{Kind: policy.UpdateFailed})
}

// shouldRetryWatch reports whether the loop itself retries a failed watch. It always does if the policy opens
// no watches. Otherwise a retry by the policy may take as long as policy.NotificationTimeout allows, because
// the policy's backoff protects a service that is down. The failed call may have been the first one since the
// service has recovered, so a fault of this machine or an unusable reply must not cause another such delay.
// After a move, less of that time is left.
func (l *eventLoop) shouldRetryWatch(err error) bool {
	if !l.cfg.Settings.WatchRequired || l.discoveryMovedAt > 0 && l.now < l.discoveryMovedAt+moveRetryPeriod {
		return true
	}
	switch discovery.ClassifyFailure(err) {
	case discovery.LocalFault:
		return true // the failed call put no load on the service
	case discovery.UnusableReply:
		return l.watchRetries < maxUnusableReplyRetries
	default:
		return false
	}
}

// logWatchFailure logs why a watch failed, at most once in failureLogInterval.
func (l *eventLoop) logWatchFailure(err error) {
	if l.now < l.nextWatchFailureLog {
		return
	}
	l.nextWatchFailureLog = l.now + failureLogInterval
	l.logger.Warn("discovery watch failed", "error", err)
}

// moveDiscovery replaces the client of the discovery service by one with another address. If the settings do
// not require a watch, so that calls have no cost, the next watch starts from a snapshot, because the versions
// of the other service may differ.
func (l *eventLoop) moveDiscovery(cfg *config.Config) {
	l.logger.Info("discovery moves", "to", cfg.Discovery)
	l.retainReplacedWatch()
	l.startTimes.noteContactLost()
	l.discovery.CloseIdleConnections()
	l.discovery = newDiscoveryClient(cfg)
	l.discoveryGeneration++
	l.watching = false
	l.watchBackoff.Reset()
	l.discoveryMovedAt = l.now
	l.nextWatchFailureLog = l.now
	if !l.cfg.Settings.WatchRequired {
		l.endpointsVersion = discovery.NoVersion
	}
	l.startWatch()
}

// retainReplacedWatch keeps the open watch running for moveRetryPeriod, because the service may have sent a
// list that the router has not read yet. It cancels the oldest ones beyond maxReplacedWatches.
func (l *eventLoop) retainReplacedWatch() {
	if !l.watching {
		return
	}
	l.replacedWatchCancels = append(l.replacedWatchCancels, l.cancelWatch)
	l.cancelReplacedWatches(maxReplacedWatches)
	l.scheduleAfter(moveRetryPeriod, l.cancelWatch)
}
