// Package soaktest runs real router processes between clients and cache servers of its own, with
// faults that are drawn by seed, and judges each request by what its client saw.
//
// The tests are all there is to it. TestSoak plays a few fixed seeds; more are played with
//
//	go test ./internal/soaktest -run TestSoak -soak.first 100 -soak.seeds 50 -timeout 1h
//
// A failure prints the seed, what was drawn for it and each request that was lost.
package soaktest
