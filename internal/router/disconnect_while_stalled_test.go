package router

import "testing"

// TestClientDisconnectsWhileStalled checks that nothing is sent if the client disconnects while the router
// is stalled after it has checked the time and the connection to the cache, and before it writes the first
// byte of the attempt.
func TestClientDisconnectsWhileStalled(t *testing.T) {
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
			receive(t, stalled.reached, "check of the connection to the cache")
			d.disconnect(client, disconnect)
			close(stalled.resume)
			receive(t, performed, "end of the attempt's start")
			d.wantNothingSent()
		})
	}
}
