package scaletest

// This file generates the requests of clients.

import (
	"math/rand/v2"
	"time"
)

// writeRatio is the fraction of requests that are writes.
const writeRatio = .07

// The timeout of a client is a random fraction of the timeout of the class, between these bounds.
const (
	minTimeoutShare = .3
	maxTimeoutShare = .55
)

// The popularity of keys follows a Zipf distribution over two million keys. The most popular key gets
// 0.1% of the requests.
const (
	zipfExponent = 1.1
	zipfOffset   = 100
	maxZipfKey   = 1 << 21
)

// keyMultiplier and keyShift spread the keys over the hash space (multiplicative hashing).
const (
	keyMultiplier = 0x9e3779b97f4a7c15
	keyShift      = 11
)

const microsecondsPerMillisecond = 1000

// workload generates random requests.
type workload struct {
	rng  *rand.Rand
	keys *rand.Zipf
}

// workloadRequest is a generated request.
type workloadRequest struct {
	key     uint64
	write   bool
	timeout time.Duration // timeout of the client
}

func newWorkload(seed uint64) *workload {
	rng := rand.New(rand.NewPCG(seed, 0))
	return &workload{rng: rng, keys: rand.NewZipf(rng, zipfExponent, zipfOffset, maxZipfKey)}
}

// nextInterval draws the time to the next request of a Poisson process with the given rate per second.
func (w *workload) nextInterval(rate float64) time.Duration {
	return time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
}

// next generates the next request. The order of the draws must not change, so that a seed keeps
// generating the same requests.
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
