package router

import (
	"log/slog"
	"sync/atomic"

	"marlstage/policy"
)

const (
	statisticsInterval = 60_000_000 // time in microseconds between two log lines with statistics
	lateReplyMargin    = 50_000     // time in microseconds past the deadline after which a reply counts as late
)

// statistics holds counters since the router's start. Any goroutine may update them.
type statistics struct {
	requests    atomic.Int64
	results     [requestResultCount]atomic.Int64
	rejects     [rejectReasonCount]atomic.Int64    // requests rejected without consulting the engine
	lateReplies atomic.Int64                       // final replies that were later than lateReplyMargin
	attempts    atomic.Int64                       // attempts that the engine has decided on
	notStarted  atomic.Int64                       // of these, those that could not start as their request or cache was gone
	retries     atomic.Int64                       // attempts other than the first of a request, including hedges
	outcomes    [policy.NotStored + 1]atomic.Int64 // attempts by policy.Result
	clientEnds  [closeReasonCount]atomic.Int64     // client connections by the reason of their end

	unsolicited       atomic.Int64 // upstream connections closed because of unsolicited bytes
	abandonedWhenDue  atomic.Int64 // requests whose client disconnected at about their deadline or later
	uncertainReplies  atomic.Int64 // upstream connections closed because bytes arrived while a write was stalled
	heldRequests      atomic.Int64 // requests held back from the engine as their client may be gone
	resetEarly        atomic.Int64 // connections that their client had reset before they were accepted
	postponedAttempts atomic.Int64 // times that an attempt was postponed because the check of its client failed
	stalledWrites     atomic.Int64 // writes that were begun anew because the process was stalled before them

	lostReplies   atomic.Int64 // values of caches that were not kept for lack of memory
	workTurns     atomic.Int64 // times that a reader waited for a turn of the work limiter
	memoryWaits   atomic.Int64 // times that a reader began to wait for memory
	commandErrors atomic.Int64 // commands with valid framing that are otherwise invalid
	stalls        atomic.Int64 // times that the process was stalled
	longestStall  atomic.Int64 // in microseconds

	delayedEvents atomic.Int64 // events that the event loop handled with a delay of minBehindDelay or more
	longestDelay  atomic.Int64 // longest such delay in microseconds
	longestTurn   atomic.Int64 // longest turn of the event loop in microseconds
}

// requestResult is how a request ended.
type requestResult uint8

const (
	requestServed requestResult = iota
	requestRejected
	requestFailed
	requestAbandoned   // the client has disconnected
	requestResultCount // number of results
)

func (r requestResult) String() string {
	return [requestResultCount]string{"served", "rejected", "failed", "abandoned"}[r]
}

// rejectReason is the reason why a command is rejected without consulting the engine.
type rejectReason uint8

const (
	rejectTooManyOpen  rejectReason = iota // the number of open requests has reached the limit of the settings
	rejectDraining                         // the drain deadline has passed
	rejectMemory                           // the memory budget is exhausted
	rejectPipelined                        // too many commands on the connection await their replies
	rejectOverloaded                       // the router is overloaded and the request is beyond the engine's limit
	rejectDisconnected                     // the client had closed its side before the connection was accepted
	rejectReasonCount                      // number of reasons
)

func (r rejectReason) String() string {
	return [rejectReasonCount]string{"too_many_open", "draining", "no_memory", "pipelined", "overloaded", "disconnected"}[r]
}

// closeReason is the reason why nothing more is read from a client connection.
type closeReason uint8

const (
	closedByClient     closeReason = iota // the client closed it
	closedDraining                        // closed between requests while the router drains
	closedEvicted                         // closed between requests for lack of descriptors
	closedSilent                          // no command was received
	closedQuit                            // the client sent QUIT
	closedMalformed                       // the client sent something that is not a command
	closedIncomplete                      // the rest of a command did not arrive in time
	closedGivenUp                         // a partial command was given up for lack of memory or descriptors
	closedFinalReplies                    // the drain deadline passed
	closeReasonCount                      // number of reasons
)

func (r closeReason) String() string {
	return [closeReasonCount]string{
		"client", "draining", "evicted", "silent", "quit", "malformed", "incomplete", "given_up", "final replies",
	}[r]
}

// noteStall counts a stall of the process with the given duration in microseconds.
func (s *statistics) noteStall(duration policy.Time) {
	s.stalls.Add(1)
	storeMax(&s.longestStall, duration)
}

// storeMax raises maximum to value if value is greater.
func storeMax(maximum *atomic.Int64, value policy.Time) {
	for {
		largest := maximum.Load()
		if value <= largest || maximum.CompareAndSwap(largest, value) {
			return
		}
	}
}

// inFlight is what the event loop and the engine hold for requests and attempts. While the loop is between two
// turns both hold the same attempts.
type inFlight struct {
	openRequests int // requests without a final reply
	requests     int // requests that the loop holds: the open ones, and those with attempts in flight
	attempts     int // attempts of requests that have no outcome yet
	engine       policy.Usage
}

func (l *eventLoop) inFlight() inFlight {
	return inFlight{
		openRequests: l.openRequests,
		requests:     len(l.requests),
		attempts:     l.attemptsInFlight,
		engine:       l.engine.Usage(),
	}
}

// LogValue implements slog.LogValuer.
func (f inFlight) LogValue() slog.Value {
	return slog.GroupValue(
		slog.Int("open_requests", f.openRequests),
		slog.Int("requests", f.requests),
		slog.Int("attempts", f.attempts),
		slog.Int("engine_requests", f.engine.Requests),
		slog.Int("engine_queued", f.engine.Queued),
		slog.Int("engine_attempts", f.engine.Attempts),
		slog.Int("engine_likely_misses", f.engine.LikelyMisses),
	)
}

// logStatistics logs all counters, what is in flight, and the memory in use, as one line.
func (l *eventLoop) logStatistics() {
	l.statistics.log(l.logger, l.inFlight(),
		slog.Any("memory", l.memory),
		slog.Any("runtime", readRuntimeMemory()),
		slog.Int("timers", len(l.timers)))
}

// logFinalStatistics has the loop log the statistics once it has run what is queued by now, and waits for that.
// Any goroutine may call it.
func (l *eventLoop) logFinalStatistics() {
	logged := make(chan struct{})
	l.post(func() {
		l.logStatistics()
		close(logged)
	})
	select {
	case <-logged:
	case <-l.done:
	}
}

// log logs all counters, what is in flight, and further attributes, as one line.
func (s *statistics) log(logger *eventLogger, current inFlight, further ...any) {
	logger.Info("statistics", append([]any{
		slog.Int64("requests", s.requests.Load()),
		slog.Any("in_flight", current),
		slog.Attr{Key: "results", Value: nonZeroCounts(s.results[:], func(i int) string { return requestResult(i).String() })},
		slog.Attr{Key: "rejects", Value: nonZeroCounts(s.rejects[:], func(i int) string { return rejectReason(i).String() })},
		slog.Int64("late", s.lateReplies.Load()),
		slog.Int64("abandoned_when_due", s.abandonedWhenDue.Load()),
		slog.Int64("held_requests", s.heldRequests.Load()),
		slog.Int64("reset_early", s.resetEarly.Load()),
		slog.Int64("postponed_attempts", s.postponedAttempts.Load()),
		slog.Int64("stalled_writes", s.stalledWrites.Load()),
		slog.Int64("attempts", s.attempts.Load()),
		slog.Int64("not_started", s.notStarted.Load()),
		slog.Int64("retries", s.retries.Load()),
		slog.Attr{Key: "outcomes", Value: nonZeroCounts(s.outcomes[:], func(i int) string { return policy.Result(i).String() })},
		slog.Attr{Key: "client_ends", Value: nonZeroCounts(s.clientEnds[:], func(i int) string { return closeReason(i).String() })},
		slog.Int64("unsolicited", s.unsolicited.Load()),
		slog.Int64("uncertain_replies", s.uncertainReplies.Load()),
		slog.Int64("command_errors", s.commandErrors.Load()),
		slog.Int64("memory_waits", s.memoryWaits.Load()),
		slog.Int64("lost_replies", s.lostReplies.Load()),
		slog.Int64("work_turns", s.workTurns.Load()),
		slog.Int64("stalls", s.stalls.Load()),
		slog.Duration("longest_stall", microseconds(s.longestStall.Load())),
		slog.Int64("delayed_events", s.delayedEvents.Load()),
		slog.Duration("longest_delay", microseconds(s.longestDelay.Load())),
		slog.Duration("longest_turn", microseconds(s.longestTurn.Load())),
		slog.Int64("dropped_lines", logger.queue.dropped.Load()),
		slog.Int64("suppressed_lines", logger.suppressed.Load()),
	}, further...)...)
}

// nonZeroCounts returns a group of the counters that are not zero. name returns the name of the counter with the
// given index.
func nonZeroCounts(counts []atomic.Int64, name func(int) string) slog.Value {
	var group []slog.Attr
	for i := range counts {
		if n := counts[i].Load(); n > 0 {
			group = append(group, slog.Int64(name(i), n))
		}
	}
	return slog.GroupValue(group...)
}
