package resp

import (
	"testing"

	"marlstage/policy"
)

func TestAppendBusyRoundsUp(t *testing.T) {
	for retryAfter, want := range map[policy.Time]string{
		0:       "-BUSY\r\n",
		1:       "-BUSY 1\r\n",
		1000:    "-BUSY 1\r\n",
		1001:    "-BUSY 2\r\n",
		600_000: "-BUSY 600\r\n",
	} {
		if got := string(AppendBusy(nil, retryAfter)); got != want {
			t.Errorf("%d: %q, want %q", retryAfter, got, want)
		}
	}
}

func TestFixedReplies(t *testing.T) {
	for got, want := range map[string]string{
		BusyReply:                         "-BUSY\r\n",
		FailedReply:                       "-ERR failed\r\n",
		PongReply:                         "+PONG\r\n",
		OKReply:                           "+OK\r\n",
		string(AppendError(nil, "wrong")): "-ERR wrong\r\n",
		string(AppendPing(nil)):           "*1\r\n$4\r\nPING\r\n",
	} {
		if got != want {
			t.Errorf("%q, want %q", got, want)
		}
	}
}
