package router

import (
	"log/slog"
	"sync/atomic"

	"marlstage/policy"
)

const (
	statisticsInterval = 60_000_000 // microseconds between two lines of statistics
	lateReplyMargin    = 50_000     // microseconds beyond its deadline from which on a reply counts as late
)

// statistics counts what the router did. Any goroutine may add to it.
type statistics struct {
	requests  atomic.Int64
	results   [requestResults]atomic.Int64
	rejects   [rejectReasons]atomic.Int64 // without asking the policy
	late      atomic.Int64                // final replies that came late
	attempts  atomic.Int64
	retries   atomic.Int64                       // attempts of a request that had one before, hedged requests included
	outcomes  [policy.NotStored + 1]atomic.Int64 // by policy.Result
	clientEnd [closeReasons]atomic.Int64         // connections of clients, by why they ended

	unsolicited       atomic.Int64 // connections to caches that ended because of bytes nobody asked for
	abandonedWhenDue  atomic.Int64 // requests whose client left about when their reply was due
	postponedAttempts atomic.Int64 // times that an attempt waited as it could not be told whether its client had left

	commandErrors atomic.Int64 // commands that can be parsed, but that no proper client sends
	stalls        atomic.Int64
	longestStall  atomic.Int64 // microseconds

	delayedEvents atomic.Int64 // events that the event loop handled late
	longestDelay  atomic.Int64 // microseconds by which one was
	longestTurn   atomic.Int64 // microseconds of one turn of the event loop
}

// requestResult is how a request ended.
type requestResult uint8

const (
	requestServed requestResult = iota
	requestRejected
	requestFailed
	requestAbandoned // the client has gone
	requestResults   // the number of results
)

func (r requestResult) String() string {
	return [requestResults]string{"served", "rejected", "failed", "abandoned"}[r]
}

// rejectReason is why a command is rejected without asking the policy.
type rejectReason uint8

const (
	rejectTooMany    rejectReason = iota // as many requests are open as the settings allow
	rejectDraining                       // the last replies of the drain are due
	rejectMemory                         // no memory is left for requests
	rejectPipelined                      // too many commands of the connection await their replies
	rejectOverloaded                     // the router is behind, and takes no more for the moment
	rejectReasons                        // the number of reasons
)

func (r rejectReason) String() string {
	return [rejectReasons]string{"too_many_open", "draining", "no_memory", "pipelined", "overloaded"}[r]
}

// closeReason is why the connection of a client ended.
type closeReason uint8

const (
	closedByClient     closeReason = iota
	closedDraining                 // between requests, as the router drains
	closedEvicted                  // between requests, for want of descriptors
	closedSilent                   // no first command came
	closedQuit                     // after QUIT
	closedMalformed                // what the client sent is no command
	closedIncomplete               // the rest of a command did not come in time
	closedFinalReplies             // the last replies of a drain were due
	closeReasons                   // the number of reasons
)

func (r closeReason) String() string {
	return [closeReasons]string{
		"client", "draining", "evicted", "silent", "quit", "malformed", "incomplete", "final replies",
	}[r]
}

// noteStall counts a time in microseconds in which the process did not run.
func (s *statistics) noteStall(duration policy.Time) {
	s.stalls.Add(1)
	storeMax(&s.longestStall, duration)
}

// storeMax raises a maximum to a value.
func storeMax(maximum *atomic.Int64, value policy.Time) {
	for {
		largest := maximum.Load()
		if value <= largest || maximum.CompareAndSwap(largest, value) {
			return
		}
	}
}

// log writes the counts since the start as one line.
func (s *statistics) log(logger *eventLogger) {
	logger.Info("statistics",
		slog.Int64("requests", s.requests.Load()),
		slog.Attr{Key: "results", Value: groupOf(s.results[:], func(i int) string { return requestResult(i).String() })},
		slog.Attr{Key: "rejects", Value: groupOf(s.rejects[:], func(i int) string { return rejectReason(i).String() })},
		slog.Int64("late", s.late.Load()),
		slog.Int64("abandoned_when_due", s.abandonedWhenDue.Load()),
		slog.Int64("postponed_attempts", s.postponedAttempts.Load()),
		slog.Int64("attempts", s.attempts.Load()),
		slog.Int64("retries", s.retries.Load()),
		slog.Attr{Key: "outcomes", Value: groupOf(s.outcomes[:], func(i int) string { return policy.Result(i).String() })},
		slog.Attr{Key: "client_ends", Value: groupOf(s.clientEnd[:], func(i int) string { return closeReason(i).String() })},
		slog.Int64("unsolicited", s.unsolicited.Load()),
		slog.Int64("command_errors", s.commandErrors.Load()),
		slog.Int64("stalls", s.stalls.Load()),
		slog.Duration("longest_stall", microseconds(s.longestStall.Load())),
		slog.Int64("delayed_events", s.delayedEvents.Load()),
		slog.Duration("longest_delay", microseconds(s.longestDelay.Load())),
		slog.Duration("longest_turn", microseconds(s.longestTurn.Load())),
		slog.Int64("dropped_lines", logger.queue.dropped.Load()),
		slog.Int64("suppressed_lines", logger.suppressed.Load()),
	)
}

// groupOf returns the counts that are not zero, by their names.
func groupOf(counts []atomic.Int64, name func(int) string) slog.Value {
	var group []slog.Attr
	for i := range counts {
		if n := counts[i].Load(); n > 0 {
			group = append(group, slog.Int64(name(i), n))
		}
	}
	return slog.GroupValue(group...)
}
