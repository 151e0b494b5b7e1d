package router

import "testing"

// TestClientLeavesWhileHeldUp has the client disconnect while the router is held up between its looks
// at the clock and at the connection to the cache and the write of an attempt's first byte.
func TestClientLeavesWhileHeldUp(t *testing.T) {
	for how, disconnect := range disconnects {
		t.Run(how, func(t *testing.T) {
			d := newDisconnectTest(t, 1)
			client, req := d.sendRequest()
			heldUp := fault{begun: make(chan struct{}), resume: make(chan struct{})}
			d.system.inject(callPeek, heldUp)
			performed := make(chan struct{})
			go func() {
				defer close(performed)
				d.do(func() { d.perform(req, "c1") })
			}()
			receive(t, heldUp.begun, "look at the connection to the cache")
			d.disconnect(client, disconnect)
			close(heldUp.resume)
			receive(t, performed, "end of the attempt's start")
			d.wantNothingSent()
		})
	}
}
