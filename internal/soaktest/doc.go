// Package soaktest runs router processes between test clients and test cache servers, injects faults that are
// generated from a seed, and checks each request by what its client observed.
//
// The package consists of tests. TestSoak runs a few fixed seeds; to run others, use
//
//	go test ./internal/soaktest -run TestSoak -soak.first 100 -soak.seeds 50 -timeout 1h
//
// A failure prints the seed, the plan generated from it and the requests that broke a rule.
package soaktest
