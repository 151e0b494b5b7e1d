package scaletest

// This file implements a hollow router around the policy engine.

import (
	"net/http"
	"sync"
	"time"

	"marlstage/internal/discovery"
	"marlstage/policy"
)

// fleetSeedShift puts the seed of the fleet above the number of the router, so that no two routers of
// a run share a seed.
const fleetSeedShift = 32

// hollowRouter is the policy engine with a watch, and with simulated connections where it is
// active. Whatever runs in it holds its lock: see run.
type hollowRouter struct {
	fleet        *Fleet
	active       bool            // whether it gets requests
	mirrorDelays []time.Duration // by which each router that its sockets represent follows; the first is itself
	client       *http.Client    // of discovery

	mu                  sync.Mutex // guards what follows
	engine              *policy.Engine
	workload            *workload
	now                 policy.Time
	pendingEvents       []policy.Event // to be delivered to the engine
	requests            map[int64]*request
	pools               []*pool // in the order of the initial endpoint list
	poolsByName         map[string]*pool
	openConns           int // to all cache servers
	maxConns            int // bound of openConns
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
		endpointsVersion: f.initial.Version,
		maxConns:         (f.spec.RouterDescriptors - reservedDescriptors) * serverShareNumerator / serverShareDenominator,
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

// chooseMirrorDelays spreads the represented routers over an interval between health checks.
func (h *hollowRouter) chooseMirrorDelays(represented int) {
	h.mirrorDelays = make([]time.Duration, 1+represented)
	for i := range represented {
		delay := h.workload.rng.Int64N(h.fleet.settings.HealthCheckInterval())
		h.mirrorDelays[1+i] = time.Duration(delay) * time.Microsecond
	}
}

func (h *hollowRouter) createPools() {
	initial := h.fleet.initial
	for position, endpoint := range initial.Endpoints {
		p := newPool(h, position, endpoint.ID, initial.Addresses[position])
		h.pools = append(h.pools, p)
		h.poolsByName[endpoint.ID] = p
	}
	for _, position := range h.fleet.spec.ConnectedServers {
		h.pools[position].connected = true
	}
}

// run runs a task in the router, and then delivers the events that came of it to the engine.
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

// deliverEvents hands the pending events to the engine, with those that its actions give rise to.
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

// scheduleAt runs a task in the router at a later time.
func (h *hollowRouter) scheduleAt(t policy.Time, task func()) {
	time.AfterFunc(time.Duration(t-h.now)*time.Microsecond, func() { h.run(task) })
}

// notify has an event delivered to the engine before run returns.
func (h *hollowRouter) notify(event policy.Event) { h.pendingEvents = append(h.pendingEvents, event) }

func (h *hollowRouter) start() {
	h.notify(&policy.EndpointsUpdate{Kind: policy.UpdateStale, Endpoints: h.fleet.initial.Endpoints})
	if !h.fleet.settings.WatchRequired {
		h.startWatch()
	}
	if h.active {
		h.nextArrival = time.Now()
		h.scheduleArrival()
	}
}

// perform carries out an action of the engine.
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

// addTo adds what the router has done to a count of the fleet.
func (h *hollowRouter) addTo(count *FleetCount) {
	h.mu.Lock()
	defer h.mu.Unlock()
	count.Requests += h.requestCount
	count.Served += h.servedCount
	count.Timers += h.timerCount
	for _, p := range h.pools {
		count.CacheServers[p.position].add(p.count)
	}
}
