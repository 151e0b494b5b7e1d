package router

import "testing"

// TestClientLeavesWhileStalled has the client disconnect while the router is stalled between its looks
// at the clock and at the connection to the cache and the write of an attempt's first byte.
func TestClientLeavesWhileStalled(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			d := newDisconnectTest(t, 1)
			client, req := d.sendRequest()
			stalled := fault{reached: make(chan struct{}), resume: make(chan struct{})}
			d.system.inject(callPeek, stalled)
			performed := make(chan struct{})
			go func() {
				defer close(performed)
				d.do(func() { d.perform(req, "c1") })
			}()
			receive(t, stalled.reached, "look at the connection to the cache")
			d.disconnect(client, disconnect)
			close(stalled.resume)
			receive(t, performed, "end of the attempt's start")
			d.wantNothingSent()
		})
	}
}
