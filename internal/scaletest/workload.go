package scaletest

// This file generates requests.

import (
	"math/rand/v2"
	"time"
)

// writeRatio is the share of requests that write.
const writeRatio = .07

// A client waits for one attempt of its request a part of the class's timeout between these two.
const (
	minTimeoutShare = .3
	maxTimeoutShare = .55
)

// The popularity of keys: a Zipf distribution over two million keys, of which the most popular one
// gets 0.1% of the requests.
const (
	zipfExponent = 1.1
	zipfOffset   = 100
	maxZipfKey   = 1 << 21
)

// keyMultiplier and keyShift spread the keys as a hash of their names would.
const (
	keyMultiplier = 0x9e3779b97f4a7c15
	keyShift      = 11
)

const microsecondsPerMillisecond = 1000

// workload makes up requests.
type workload struct {
	rng  *rand.Rand
	keys *rand.Zipf
}

// workloadRequest is a request that a client makes.
type workloadRequest struct {
	key     uint64
	write   bool
	timeout time.Duration // of the client
}

func newWorkload(seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, 0))
	return &workload{rng: rng, keys: rand.NewZipf(rng, zipfExponent, zipfOffset, maxZipfKey)}
}

// interval is the time to the next request, at so many a second on average.
func (w *workload) interval(rate float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

// next makes up the next request. The order of the draws is what a seed stands for.
func (w *workload) next() workloadRequest {
	write := w.rng.Float64() < writeRatio
	key := (w.keys.Uint64() + 1) * keyMultiplier >> keyShift
	timeoutShare := minTimeoutShare + w.rng.Float64()*(maxTimeoutShare-minTimeoutShare)
	classTimeout := readTimeout
	if write {
		classTimeout = writeTimeout
	}
	return workloadRequest{
		key:     key,
		write:   write,
		timeout: time.Duration(float64(classTimeout) * timeoutShare),
	}
}
