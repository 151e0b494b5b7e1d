package router

import (
	"fmt"
	"runtime"
	"testing"
)

// fleetSize is the number of routers and caches that the router has to support.
const fleetSize = 1024

// manyEndpoints returns n endpoints with the same address.
func manyEndpoints(n int, addr string) []string {
	var endpoints []string
	for i := range n {
		endpoints = append(endpoints, endpointJSON(fmt.Sprintf("c%04d", i), addr, "in_service"))
	}
	return endpoints
}

// heapInUse returns the number of bytes in live objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestManyCachesFewDescriptors checks with 1,024 caches that idle connections are closed when descriptors run
// short, that no request is lost, and that memory use stays far below 32 MB.
func TestManyCachesFewDescriptors(t *testing.T) {
	cache := newFakeCache(t)
	cfg := testConfig(t, silentDiscovery(t), func(in map[string]any) {
		in["limits"] = map[string]any{"cores": 1, "memory_mb": 32, "sockets": 256}
		settings := in["settings"].(map[string]any)
		settings["instances"] = fleetSize
		settings["penalties"].(map[string]any)["connection"] = 0 // so that idle connections are kept
	}, manyEndpoints(fleetSize, cache.addr())...)
	before := heapInUse()
	router := startRouter(t, cfg)
	cache.handleCommands(t, func(cmd fakeCommand) { cmd.reply(t, servedReply) })
	client := dial(t, router.addr)
	const requests = 1500
	maxConns := 0
	for i := range requests {
		client.send(encodeCommand("C.GET", fmt.Sprintf("k%d", i), fmt.Sprintf("r%d", i), "c=read,d=20000"))
		client.wantLine("value")
		done := make(chan int)
		router.srv.loop.post(func() { done <- router.srv.loop.upstreamConns })
		maxConns = max(maxConns, receive(t, done, "number of connections"))
	}
	if free := newDescriptorBudget(256).maxUpstreamConns; maxConns > free || maxConns < free/2 {
		t.Errorf("%d connections to caches at once, want between half and all of %d", maxConns, free)
	}
	if used := heapInUse() - before; used > 16<<20 {
		t.Errorf("%d MB of heap are in use, including those of the test", used>>20)
	}
	done := make(chan int)
	router.srv.loop.post(func() { done <- len(router.srv.loop.pools) })
	if n := receive(t, done, "number of caches"); n != fleetSize {
		t.Errorf("%d caches are known", n)
	}
}
