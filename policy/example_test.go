package policy_test

import (
	"fmt"

	"marlstage/policy"
)

func Example() {
	engine, err := policy.New(policy.Settings{
		Routers:     1,
		MaxAttempts: 2,
		DrainGrace:  1_000_000,
		Classes: []policy.Class{{
			Name:             "get",
			Effect:           policy.Idempotent,
			LatencyObjective: 200_000,
			Timeout:          800_000,
			PriorityWeight:   1,
		}},
	}, 42)
	if err != nil {
		fmt.Println(err)
		return
	}
	engine.Handle(0, &policy.EndpointsUpdate{
		Kind:      policy.UpdateSnapshot,
		Endpoints: []policy.Endpoint{{ID: "cache-1", Zone: "east", Weight: 1}},
	})
	request := &policy.Request{ID: 7, Class: "get", Key: 99, HasKey: true, Deadline: 801_000}
	for _, action := range engine.Handle(1000, request) {
		if send, ok := action.(policy.Send); ok {
			fmt.Println("send request", send.ID, "to", send.Cache)
		}
	}
	// Output: send request 7 to cache-1
}
