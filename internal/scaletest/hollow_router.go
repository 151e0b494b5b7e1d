package scaletest

// This file implements a hollow router around the policy engine.

import (
	"net/http"
	"sync"
	"time"

	"marlstage/internal/discovery"
	"marlstage/policy"
)

// fleetSeedShift puts the seed of the fleet above the bits of the router's number, so that no two
// routers of a run share a seed.
const fleetSeedShift = 32

// hollowRouter is the policy engine with a watch and, if it is active, with simulated connections. All
// its code runs with the lock held (see run), except the watch's calls to discovery.
type hollowRouter struct {
	fleet        *Fleet
	active       bool            // whether it gets requests
	mirrorDelays []time.Duration // delays of the mirrors: 0 for the router itself, then one per represented router
	client       *http.Client    // for calls to discovery

	mu                  sync.Mutex // guards the fields below
	engine              *policy.Engine
	workload            *workload
	now                 policy.Time
	pendingEvents       []policy.Event // not yet delivered to the engine
	requests            map[int64]*request
	pools               []*pool // in the order of the initial endpoint list
	poolsByName         map[string]*pool
	openConns           int // to all cache servers
	maxConns            int // limit of openConns
	descriptorShortage  bool
	outstandingAttempts int // attempts and health checks without an outcome
	nextArrival         time.Time
	watching            bool
	endpointsVersion    int64
	watchBackoff        discovery.Backoff
	quotaMet            bool
	draining, drained   bool

	requestCount, servedCount, timerCount, healthCheckCount int64
}

func newHollowRouter(f *Fleet, number int) (*hollowRouter, error) {
	h := &hollowRouter{
		fleet:            f,
		active:           number < len(f.spec.RepresentedRouters),
		workload:         newWorkload(f.spec.Seed<<fleetSeedShift + uint64(number)),
		client:           newDiscoveryClient(f),
		requests:         map[int64]*request{},
		poolsByName:      map[string]*pool{},
		endpointsVersion: f.initialList.Version,
		maxConns:         (f.spec.RouterDescriptors - routerReservedDescriptors) * serverShareNumerator / serverShareDenominator,
	}
	settings := f.settings
	settings.HealthChecksAllowed = settings.HealthChecksAllowed && h.active
	var err error
	if h.engine, err = policy.New(settings, h.workload.rng.Uint64()); err != nil {
		return nil, err
	}
	if h.active {
		h.chooseMirrorDelays(f.spec.RepresentedRouters[number])
		h.createPools()
	}
	return h, nil
}

// chooseMirrorDelays gives the represented routers random delays within one health check interval, so
// that their health checks do not coincide.
func (h *hollowRouter) chooseMirrorDelays(represented int) {
	h.mirrorDelays = make([]time.Duration, 1+represented)
	for i := range represented {
		delay := h.workload.rng.Int64N(h.fleet.settings.HealthCheckInterval())
		h.mirrorDelays[1+i] = time.Duration(delay) * time.Microsecond
	}
}

func (h *hollowRouter) createPools() {
	initialList := h.fleet.initialList
	for position, endpoint := range initialList.Endpoints {
		p := newPool(h, position, endpoint.ID, initialList.Addresses[position])
		h.pools = append(h.pools, p)
		h.poolsByName[endpoint.ID] = p
	}
	for _, position := range h.fleet.spec.ConnectedServers {
		h.pools[position].connected = true
	}
}

// run runs a task with the lock held and then delivers the resulting events to the engine. It does
// nothing once the fleet is closed.
func (h *hollowRouter) run(task func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fleet.ctx.Err() != nil {
		return
	}
	h.now = time.Now().UnixMicro()
	task()
	h.deliverEvents()
	if h.draining && !h.drained && h.outstandingAttempts == 0 {
		h.finishDrain()
	}
}

// deliverEvents delivers the pending events to the engine, including those that its actions cause.
func (h *hollowRouter) deliverEvents() {
	for len(h.pendingEvents) > 0 {
		event := h.pendingEvents[0]
		h.pendingEvents = h.pendingEvents[1:]
		for _, action := range h.engine.Handle(h.now, event) {
			h.perform(action)
		}
	}
	h.pendingEvents = nil
}

func (h *hollowRouter) finishDrain() {
	for _, p := range h.pools {
		p.closeIdle(h.now)
	}
	h.drained = true
	h.fleet.undrained.Done()
}

// scheduleAt schedules a task of the router (see run) for a later time.
func (h *hollowRouter) scheduleAt(t policy.Time, task func()) {
	time.AfterFunc(time.Duration(t-h.now)*time.Microsecond, func() { h.run(task) })
}

// notify queues an event, which is delivered to the engine before run returns.
func (h *hollowRouter) notify(event policy.Event) { h.pendingEvents = append(h.pendingEvents, event) }

func (h *hollowRouter) start() {
	h.notify(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: h.fleet.initialList.Endpoints})
	if !h.fleet.settings.WatchRequired {
		h.startWatch()
	}
	if h.active {
		h.nextArrival = time.Now()
		h.scheduleArrival()
	}
}

// perform executes an action of the engine.
func (h *hollowRouter) perform(action policy.Action) {
	switch action := action.(type) {
	case policy.Send:
		h.sendAttempt(action)
	case policy.HealthCheck:
		h.sendHealthCheck(action)
	case policy.Cancel:
		h.cancelAttempt(action)
	case policy.Reject:
		h.answer(h.requests[action.ID])
	case policy.Fail:
		h.answer(h.requests[action.ID])
	case policy.SetTimer:
		h.timerCount++
		h.scheduleAt(action.At, func() { h.notify(&policy.TimerFired{Token: action.Token}) })
	case policy.CloseIdleConnections:
		if p := h.poolsByName[action.Cache]; p != nil {
			p.closeIdle(h.now)
		}
	case policy.Watch:
		h.startWatch()
	}
}

// addTo adds the router's counters to those of the fleet.
func (h *hollowRouter) addTo(stats *FleetStats) {
	h.mu.Lock()
	defer h.mu.Unlock()
	stats.Requests += h.requestCount
	stats.Served += h.servedCount
	stats.Timers += h.timerCount
	for _, p := range h.pools {
		stats.CacheServers[p.position].add(p.stats)
	}
}
