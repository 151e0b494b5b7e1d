package router

import (
	"testing"
	"time"

	"marlstage/policy"
)

// waitForTurns waits until a number of connections wait for a turn.
func waitForTurns(t *testing.T, q *turnQueue, want int) {
	t.Helper()
	waitUntil(t, "connections that wait for a turn", func() bool {
		q.mu.Lock()
		defer q.mu.Unlock()
		return len(q.waiting) == want
	})
}

// TestTurnsAreFair checks that a connection that needs many turns gets as many as others that always wait for one. It
// guards against an order by recent turns alone, by which a client that had pipelined much was left unanswered for 1.8 s
// behind a hundred others.
func TestTurnsAreFair(t *testing.T) {
	const others, rounds = 20, 30
	var q turnQueue
	q.take(0)
	type turn struct{ connection int }
	turns := make(chan turn)
	// Connection 0 has had many turns more than the others when they arrive.
	tags := make([]int64, others+1)
	for range 5 {
		q.pass()
		tags[0] = q.take(tags[0])
	}
	wait := func(connection int) {
		tags[connection] = q.take(tags[connection])
		turns <- turn{connection}
	}
	for connection := range tags {
		go wait(connection)
	}
	waitForTurns(t, &q, others+1)
	counts := make([]int, others+1)
	for range rounds * (others + 1) {
		q.pass()
		next := receive(t, turns, "turn").connection
		counts[next]++
		go wait(next)
		waitForTurns(t, &q, others+1)
	}
	for connection, count := range counts {
		if count < rounds-6 || count > rounds+6 {
			t.Errorf("connection %d had %d turns, want about %d", connection, count, rounds)
		}
	}
}

// TestSeldomTurnComesFirst checks that a connection that has not had a turn for a while does not wait for all others, and
// that a new one comes behind it.
func TestSeldomTurnComesFirst(t *testing.T) {
	var q turnQueue
	q.take(0)
	order := make(chan string, 10)
	wait := func(name string, tag int64, waiting int) {
		go func() {
			q.take(tag)
			order <- name
		}()
		waitForTurns(t, &q, waiting)
	}
	for i := range int64(5) {
		wait("frequent", 1+i, int(i)+1)
	}
	wait("new", q.newcomerTag(), 6)
	wait("seldom", 0, 7)
	q.pass()
	if got := receive(t, order, "turn"); got != "seldom" {
		t.Errorf("the first turn was that of a connection that is %s", got)
	}
}

// TestWorkRefills checks that a connection may do some work each second without a turn, but no more than a burst at once.
func TestWorkRefills(t *testing.T) {
	const second = policy.Time(1_000_000)
	limiter := newWorkLimiter(1)
	work := limiter.newConnWork(second)
	work.charge(newWorkBurst)
	work.refill(second+second/100, limiter.freeRate)
	if want := int(limiter.freeRate / 100); work.left != want {
		t.Errorf("%d units after 10 ms, want %d", work.left, want)
	}
	work.refill(100*second, limiter.freeRate)
	if work.left != workBurst {
		t.Errorf("%d units after a long time, want %d", work.left, workBurst)
	}
	work.chargeRead(workBurst * bytesPerWorkUnit)
	if work.left >= 0 {
		t.Errorf("%d units left after a large read", work.left)
	}
}

// TestTurnsLeaveTheProcessorToOthers checks that the pause before each turn bounds the share of all turns, with a whole
// core and with a part of one.
func TestTurnsLeaveTheProcessorToOthers(t *testing.T) {
	for _, cores := range []float64{0, 0.05, 0.25, 1, 2} {
		limiter := newWorkLimiter(cores)
		if cores == 0 {
			cores = 1 // as for a configuration without a limit
		}
		share := (workBurst * workUnitTime).Seconds() / limiter.turnPause.Seconds()
		if share > 1.01*turnShare*cores {
			t.Errorf("%v cores: a share of %.3f", cores, share)
		}
		if limiter.turnPause > 100*time.Millisecond {
			t.Errorf("%v cores: a pause of %v", cores, limiter.turnPause)
		}
	}
}

// TestStoppedQueueLetsAllGo checks that nobody waits for a turn once the server reads no new commands. It guards against
// commands that SIGKILL finds unanswered because their readers wait behind clients at full speed.
func TestStoppedQueueLetsAllGo(t *testing.T) {
	const connections = 20
	var q turnQueue
	q.take(0)
	turns := make(chan int64, connections+1)
	for i := range int64(connections) {
		go func() { turns <- q.take(i) }()
	}
	waitForTurns(t, &q, connections)
	q.stop()
	turns <- q.take(0)
	for range connections + 1 {
		receive(t, turns, "turn")
	}
	q.pass()
	q.pass()
}
