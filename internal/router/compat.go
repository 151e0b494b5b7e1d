package router

import (
	"time"

	"marlstage/internal/discovery"
)

// WatchWait returns how long the discovery service may hold a watch open.
//
// Deprecated: use discovery.WatchWait. It goes once internal/scaletest does so.
func WatchWait(watchRequired bool) time.Duration { return discovery.WatchWait(watchRequired) }
