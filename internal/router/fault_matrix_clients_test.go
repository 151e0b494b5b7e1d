package router

import (
	"fmt"
	"time"
)

const (
	followingBatches   = 4                      // of a client after the scenario has begun
	crowdSize          = 30                     // clients that take turns at few descriptors
	maxCrowdResends    = 100                    // of a request in a crowd
	crowdBatches       = 4                      // of each of them
	lateClients        = 40                     // clients that send their first command late
	lateCommandTimeout = 100 * time.Millisecond // for a first command, where clients send theirs about then
	lateCommandSpread  = 20 * time.Millisecond  // over which their first commands are spread
)

// clientScript is what a client of the matrix does.
type clientScript struct {
	name          string
	batches       []requestBatch
	connectsFirst bool                  // it connects before its first batch may be written
	reportsReady  bool                  // it is waited for before the scenario begins
	leave         func(c *oracleClient) // if not nil, how it leaves over its last batch instead of waiting
}

// requestBatch is a number of requests that a client writes at once, and whose answers it awaits.
type requestBatch struct {
	class            string
	size             int
	inPieces         bool          // the first request comes in two, between which the scenario begins if it meets
	hung             bool          // no cache ever answers it, and the client waits for a short time
	held             bool          // caches hold back the answer to one of them
	start            chan struct{} // if not nil, closed when the batch may be written
	readyOnceWritten bool          // the scenario begins once the batch is written
	crossesClose     bool          // it is written when the router looks at the connection before it ends it
}

// repeated returns so many batches of one kind.
func repeated(count int, batch requestBatch) (batches []requestBatch) {
	for range count {
		batches = append(batches, batch)
	}
	return batches
}

// scripts returns the clients of a cell.
func (m *matrixRun) scripts() []clientScript {
	switch m.scenario {
	case scenarioEvict:
		return m.crowdScripts()
	case scenarioLateCommand:
		return m.lateCommandScripts()
	}
	scripts := []clientScript{
		m.script("sequential", requestBatch{class: classRead, size: 1}, 3, true),
		m.script("pipelined", requestBatch{class: classRead, size: 5}, 1, true),
		m.script("slow", requestBatch{class: classRead, size: 2, inPieces: true}, 1, false),
		m.script("put", requestBatch{class: classPut, size: 2}, 2, true),
		m.script("once", requestBatch{class: classOnce, size: 2}, 2, true),
		m.script("hung", requestBatch{class: classRead, size: 1, hung: true}, 0, false),
		m.script("idle", requestBatch{class: classRead, size: 1}, 1, false),
		{name: "late", batches: repeated(2, requestBatch{class: classRead, size: 2, start: m.scenarioStarted})},
		m.restingScript(),
	}
	if m.scenario == scenarioClientLeaves {
		scripts = append(scripts, m.leavingScripts()...)
	}
	return scripts
}

// script returns a client that sends some batches, one that the scenario finds in flight, and more.
func (m *matrixRun) script(name string, batch requestBatch, before int, inFlight bool) clientScript {
	batches := repeated(before, batch)
	atStart := batch
	atStart.readyOnceWritten, atStart.held = true, inFlight
	batches = append(batches, atStart)
	following := batch
	following.start = m.scenarioStarted
	count := followingBatches
	if batch.hung {
		count = 1
	}
	return clientScript{name: name, batches: append(batches, repeated(count, following)...), reportsReady: true}
}

// restingScript returns a client whose connection is at rest when the scenario begins, and which
// sends as the router is ending the connection, if it does.
func (m *matrixRun) restingScript() clientScript {
	return clientScript{name: "resting", reportsReady: true, batches: []requestBatch{
		{class: classRead, size: 1},
		{class: classRead, size: 3, crossesClose: true},
		{class: classRead, size: 1},
	}}
}

// crowdScripts returns more clients than there are descriptors.
func (m *matrixRun) crowdScripts() (scripts []clientScript) {
	for i := range crowdSize {
		scripts = append(scripts, clientScript{
			name:    fmt.Sprint("crowd", i),
			batches: repeated(crowdBatches, requestBatch{class: classRead, size: 1 + i%3}),
		})
	}
	return scripts
}

// lateCommandScripts returns clients that send their first command as the time for it ends.
func (m *matrixRun) lateCommandScripts() (scripts []clientScript) {
	for i := range lateClients {
		begins := make(chan struct{})
		early := lateCommandSpread/2 - lateCommandSpread*time.Duration(i)/lateClients
		time.AfterFunc(lateCommandTimeout-early, func() { close(begins) })
		scripts = append(scripts, clientScript{
			name:          fmt.Sprint("late", i),
			connectsFirst: true,
			batches:       []requestBatch{{class: classRead, size: 1 + i%3, start: begins}},
		})
	}
	return scripts
}

// leavingScripts returns clients that leave while their requests are in flight, or at once after
// writing them.
func (m *matrixRun) leavingScripts() (scripts []clientScript) {
	leave := map[string]func(*oracleClient){"close": (*oracleClient).close, "reset": (*oracleClient).reset}
	for how, leave := range leave {
		inFlight := requestBatch{class: classRead, size: 3, held: true, readyOnceWritten: true}
		unread := requestBatch{class: classRead, size: 3, start: m.scenarioStarted}
		scripts = append(scripts,
			clientScript{name: "leaves in flight by " + how, batches: []requestBatch{inFlight}, reportsReady: true, leave: leave},
			clientScript{name: "leaves at once by " + how, batches: []requestBatch{unread}, leave: leave},
			clientScript{
				name:         "leaves a used connection by " + how,
				batches:      []requestBatch{{class: classPut, size: 1, readyOnceWritten: true}, unread},
				reportsReady: true,
				leave:        leave,
			})
	}
	return scripts
}

// matrixSession is a client with its present connection.
type matrixSession struct {
	run    *matrixRun
	script clientScript
	client *oracleClient
	sent   int  // requests on the present connection
	ready  bool // the scenario need not wait for the client any more
}

// runClient plays a client.
func (m *matrixRun) runClient(script clientScript) {
	s := &matrixSession{run: m, script: script}
	defer s.reportReady()
	if script.connectsFirst && !s.connect() {
		return
	}
	for i, batch := range script.batches {
		if batch.start != nil {
			<-batch.start
		}
		if batch.crossesClose && !s.awaitCrossing() {
			return
		}
		last := i == len(script.batches)-1
		if !s.runBatch(i, batch, last) {
			return
		}
	}
	if s.client != nil {
		s.client.close()
		<-s.client.ended
	}
}

// awaitCrossing lets the scenario begin and waits for the router to look at the connection before it
// ends it. It reports false if the router takes no more connections.
func (s *matrixSession) awaitCrossing() bool {
	if !s.connect() {
		return false
	}
	s.run.system.crossing.Store(&closeCrossing{addr: s.client.conn.addr, write: s.run.crossingStarted})
	s.reportReady()
	<-s.run.crossingStarted
	return true
}

// reportReady lets the scenario begin, as far as this client is concerned.
func (s *matrixSession) reportReady() {
	if s.script.reportsReady && !s.ready {
		s.ready = true
		s.run.clientsReady.Done()
	}
}

// runBatch sends a batch and awaits its answers, with what the router did not read sent again. It
// reports false if the router takes no more connections.
func (s *matrixSession) runBatch(number int, batch requestBatch, last bool) bool {
	requests := s.newRequests(number, batch)
	for range 1 + s.maxResends() {
		if !s.connect() {
			return false
		}
		s.client.send(requests, s.pause(batch))
		s.sent += len(requests)
		if batch.readyOnceWritten {
			s.reportReady()
		}
		if last && s.script.leave != nil {
			if batch.readyOnceWritten {
				<-s.run.scenarioStarted
			}
			s.script.leave(s.client)
			return true
		}
		if s.client.awaitAnswers(s.sent, answerWait) {
			return true
		}
		if !s.client.hasEnded() {
			s.run.oracle.answerTimedOut(s.client.conn)
			_ = s.client.nc.Close()
			<-s.client.ended
			return true
		}
		requests = s.requestsToResend(requests)
		if len(requests) == 0 {
			return true
		}
	}
	s.run.t.Errorf("%s: the router did not read a request on %d connections", requests[0].id, s.maxResends()+1)
	return true
}

// maxResends returns how often a request may be sent again. Few descriptors can be shut unread often.
func (s *matrixSession) maxResends() int {
	if s.run.scenario == scenarioEvict {
		return maxCrowdResends
	}
	return maxResends
}

// pause returns what the client does in the middle of the first request, or nil if it does not stop
// there.
func (s *matrixSession) pause(batch requestBatch) func() {
	switch {
	case !batch.inPieces:
		return nil
	case !batch.readyOnceWritten:
		return func() {}
	default:
		return func() {
			s.reportReady()
			<-s.run.answersReleased
		}
	}
}

func (s *matrixSession) newRequests(number int, batch requestBatch) (requests []*oracleRequest) {
	for i := range batch.size {
		id := fmt.Sprintf("%s-%d-%d", s.script.name, number, i)
		if batch.held && i == batch.size/2 {
			id += "-" + heldMark
		}
		r := &oracleRequest{id: id, class: batch.class, timeout: matrixTimeout}
		if batch.class == classOnce && number == 0 && i == 0 {
			r.id += "-" + lostMark
		}
		if batch.hung {
			r.id += "-" + hungMark
			r.timeout = hungTimeout
		}
		requests = append(requests, r)
	}
	return requests
}

// requestsToResend returns the requests that are to be sent again on a new connection, as new ones.
func (s *matrixSession) requestsToResend(requests []*oracleRequest) (again []*oracleRequest) {
	for _, r := range s.run.oracle.unread(s.client.conn, requests) {
		again = append(again, &oracleRequest{id: r.id + "-again", class: r.class, timeout: r.timeout})
	}
	return again
}

// connect opens a connection unless one is open. It reports false if the router takes no more.
func (s *matrixSession) connect() bool {
	if s.client != nil && !s.client.hasEnded() {
		return true
	}
	client, err := dialOracle(s.run.oracle, s.run.router.addr)
	if err != nil {
		if s.run.scenario != scenarioTerminate {
			s.run.t.Errorf("%s could not connect: %v", s.script.name, err)
		}
		return false
	}
	s.client, s.sent = client, 0
	return true
}
