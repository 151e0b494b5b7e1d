package scaletest

import (
	"testing"
	"time"
)

// The fleet of TestFleetStatsMatchStandIns.
const (
	testServers       = 4
	testActive        = 3
	testRepresented   = 2 // routers represented by each active router
	testWatchOnly     = 2
	testWeightChanges = 3 // changes of the live weights
	testRequestQuota  = 300
)

// testFleet is a fleet of hollow routers with its cache servers and discovery agent.
type testFleet struct {
	*Fleet
	servers *CacheServers
	agent   *DiscoveryAgent
	applied chan int64 // receives the version of each endpoint list that a router applies
}

func startTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{applied: make(chan int64, 1000)}
	f.servers = startTestCacheServers(t, CacheServersSpec{Count: testServers, Groups: 1, MaxConns: 1000, IdleTimeout: time.Minute})
	f.agent = startTestDiscoveryAgent(t, f.servers.Addrs, 1)
	settings := Settings{
		Routers:      testActive * (1 + testRepresented),
		HealthChecks: true,
		DrainGrace:   20 * time.Millisecond,
		DialTimeout:  testTimeout,
	}
	var err error
	f.Fleet, err = StartFleet(FleetSpec{
		RepresentedRouters: []int{testRepresented, testRepresented, testRepresented},
		WatchOnlyRouters:   testWatchOnly,
		RequestRate:        2000,
		RequestQuota:       testRequestQuota,
		HealthCheckQuota:   2 * testServers,
		ConnectedServers:   []int{0, 2},
		RouterDescriptors:  1024,
		DiscoveryAddr:      f.agent.Addrs[0],
		InitialEndpoints:   f.agent.Snapshot(0),
		Settings:           settings.JSON(),
		OnEndpoints:        func(version int64) { f.applied <- version },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Close)
	return f
}

// changeWeights changes the live weights testRenewals times and waits each time until all routers have
// applied the new version. It returns the minimum size of the lists that this takes, in bytes.
func (f *testFleet) changeWeights(t *testing.T) (bytes int) {
	t.Helper()
	for version := int64(2); version < 2+testWeightChanges; version++ {
		f.agent.ChangeWeights()
		bytes += len(f.agent.deltas[0].body) * (testActive + testWatchOnly)
		for n := 0; n < testActive+testWatchOnly; {
			select {
			case applied := <-f.applied:
				if applied == version { // otherwise the reply had no changes
					n++
				}
			case <-time.After(testTimeout):
				t.Fatalf("not all routers applied version %d", version)
			}
		}
	}
	return bytes
}

// TestFleetStatsMatchStandIns checks that the counters of the hollow routers agree with those of the cache
// servers and the discovery agent. The results of a point are computed from both.
func TestFleetStatsMatchStandIns(t *testing.T) {
	f := startTestFleet(t)
	listBytes := f.changeWeights(t)
	select {
	case <-f.Done:
	case <-time.After(testTimeout):
		t.Fatalf("the routers are not done: %+v", f.Stats())
	}
	f.Drain()
	f.servers.Wait()
	stats := f.Stats()
	f.checkServers(t, stats)
	if stats.Requests < testRequestQuota*testActive || stats.Served == 0 || stats.Timers < stats.Requests {
		t.Errorf("requests %d, served %d, timers %d", stats.Requests, stats.Served, stats.Timers)
	}
	f.checkDiscovery(t, stats, int64(listBytes))
}

// checkServers compares the counters of the cache servers with those of the fleet.
func (f *testFleet) checkServers(t *testing.T, fleet FleetStats) {
	t.Helper()
	var arrived CacheStats
	for position, stats := range f.servers.Stats() {
		got, simulated := stats[0], fleet.CacheServers[position]
		if simulated.HealthChecks < testActive || simulated.Attempts == 0 || simulated.Handshakes == 0 || simulated.OpenConns != 0 {
			t.Errorf("cache server %d: simulated %+v", position, simulated)
		}
		if connected := position%2 == 0; !connected {
			if got != (CacheStats{}) {
				t.Errorf("cache server %d must not be connected, but got %+v", position, got)
			}
			continue
		}
		arrived.add(checkConnectedServer(t, position, got, simulated))
	}
	if arrived != fleet.Mirrored || fleet.MirrorFailures != 0 {
		t.Errorf("the cache servers got %+v, the fleet sent %+v with %d failures", arrived, fleet.Mirrored, fleet.MirrorFailures)
	}
}

// checkConnectedServer checks the traffic of a connected cache server. It returns the expected traffic
// without bytes, which the fleet does not count.
func checkConnectedServer(t *testing.T, position int, got, simulated CacheStats) CacheStats {
	t.Helper()
	want := CacheStats{
		HealthChecks: simulated.HealthChecks * (1 + testRepresented),
		Attempts:     simulated.Attempts * (1 + testRepresented),
		Handshakes:   simulated.Handshakes * (1 + testRepresented),
	}
	withBytes := want
	withBytes.HealthCheckBytes = 21 * want.HealthChecks
	withBytes.AttemptBytes = got.AttemptBytes
	if got != withBytes || got.AttemptBytes == 0 {
		t.Errorf("cache server %d got %+v, want %+v", position, got, withBytes)
	}
	return want
}

// checkDiscovery compares the counters of the discovery agent with those of the fleet.
func (f *testFleet) checkDiscovery(t *testing.T, fleet FleetStats, minBytes int64) {
	t.Helper()
	sent, endpoints := f.agent.Stats()[0], int64(testServers*testWeightChanges*(testActive+testWatchOnly))
	if sent.Endpoints != endpoints || fleet.Endpoints != endpoints || sent.BytesOut < fleet.DiscoveryBytes || fleet.DiscoveryBytes < minBytes {
		t.Errorf("discovery sent %d endpoints in %d bytes, the fleet got %d in %d; want %d in %d or more",
			sent.Endpoints, sent.BytesOut, fleet.Endpoints, fleet.DiscoveryBytes, endpoints, minBytes)
	}
}
