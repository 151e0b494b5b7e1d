package router

import (
	"fmt"
	"runtime"
	"testing"
)

// The tests here hold that the router has no bound of its own under so many routers and caches.
const fleetSize = 1024

// manyEndpoints is a list of caches at one address.
func manyEndpoints(n int, addr string) []string {
	var lines []string
	for i := range n {
		lines = append(lines, endpointJSON(fmt.Sprintf("c%04d", i), addr, "in_service"))
	}
	return lines
}

// heapInUse is what is held on the heap.
func heapInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// TestManyCachesFewDescriptors: each of 1,024 caches is used, idle connections give way, no request is lost,
// and memory stays far under 32 MB.
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
	over := make(chan struct{})
	t.Cleanup(func() { close(over) })
	go func() {
		for {
			select {
			case cmd := <-cache.commands:
				cmd.reply(t, servedReply)
			case <-over:
				return
			}
		}
	}()
	client := dial(t, router.addr)
	const requests = 1500
	most := 0
	for i := range requests {
		client.send(encodeCommand("C.GET", fmt.Sprintf("k%d", i), fmt.Sprintf("r%d", i), "c=read,d=20000"))
		client.wantLine("value")
		done := make(chan int)
		router.srv.loop.post(func() { done <- router.srv.loop.upstreamConns })
		most = max(most, receive(t, done, "number of connections"))
	}
	if free := newDescriptorBudget(256).maxUpstreamConns; most > free || most < free/2 {
		t.Errorf("%d connections to caches at once, of %d", most, free)
	}
	if held := heapInUse() - before; held > 16<<20 {
		t.Errorf("%d MB are held, the test's own included", held>>20)
	}
	done := make(chan int)
	router.srv.loop.post(func() { done <- len(router.srv.loop.pools) })
	if n := receive(t, done, "number of caches"); n != fleetSize {
		t.Errorf("%d caches are known", n)
	}
}
