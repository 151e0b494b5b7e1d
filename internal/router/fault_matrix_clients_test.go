package router

import (
	"fmt"
	"time"
)

const (
	followingBatches   = 4                      // batches of a client after the scenario has started
	crowdSize          = 30                     // clients that compete for few descriptors
	maxCrowdResends    = 100                    // resends of one request where descriptors are few
	crowdBatches       = 4                      // batches of each client that competes for descriptors
	lateClients        = 40                     // clients that send their first command late
	lateCommandTimeout = 100 * time.Millisecond // limit for the first command, close to which clients send theirs
	lateCommandSpread  = 20 * time.Millisecond  // period over which these first commands are spread
)

// clientScript describes what a client of the matrix does.
type clientScript struct {
	name          string
	batches       []requestBatch
	connectsFirst bool                  // connects before it waits for the start of its first batch
	reportsReady  bool                  // the scenario starts only after this client has reported ready
	leave         func(c *oracleClient) // if not nil, how it leaves without awaiting its last batch
}

// requestBatch is a number of requests that a client writes at once and whose answers it awaits.
type requestBatch struct {
	class            string
	size             int
	inPieces         bool          // the first request is written in two parts; see pause
	hung             bool          // no cache ever answers, and the requests have a short timeout
	held             bool          // caches hold back the answer to one of the requests
	start            chan struct{} // if not nil, closed when the batch may be written
	readyOnceWritten bool          // the client reports ready once the batch is written
	crossesClose     bool          // written after the last check of the connection before the router closes it
}

// repeated returns the given number of copies of a batch.
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

// script returns a client that sends some batches before the scenario, one after which it reports
// ready, and more once the scenario has started. If inFlight is set, caches hold back an answer to the
// batch after which it reports ready.
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

// restingScript returns a client whose connection is idle when the scenario starts, and which sends
// while the router is closing the connection, if it does.
func (m *matrixRun) restingScript() clientScript {
	return clientScript{name: "resting", reportsReady: true, batches: []requestBatch{
		{class: classRead, size: 1},
		{class: classRead, size: 3, crossesClose: true},
		{class: classRead, size: 1},
	}}
}

// crowdScripts returns clients for more connections than there are descriptors.
func (m *matrixRun) crowdScripts() (scripts []clientScript) {
	for i := range crowdSize {
		scripts = append(scripts, clientScript{
			name:    fmt.Sprint("crowd", i),
			batches: repeated(crowdBatches, requestBatch{class: classRead, size: 1 + i%3}),
		})
	}
	return scripts
}

// lateCommandScripts returns clients that send their first command close to the limit for it.
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

// leavingScripts returns clients that leave while their requests are in flight, or as soon as they have
// written them.
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

// matrixSession is a running client and its current connection.
type matrixSession struct {
	run    *matrixRun
	script clientScript
	client *oracleClient
	sent   int  // requests on the current connection
	ready  bool // the client has reported ready
}

// runClient runs a client until its last batch, or until the router takes no more connections.
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

// awaitCrossing reports ready and waits until the client may write: after the router's last check of the
// connection before it closes it, or once startCrossing is called. It reports false if the router takes
// no more connections.
func (s *matrixSession) awaitCrossing() bool {
	if !s.connect() {
		return false
	}
	s.run.system.crossing.Store(&closeCrossing{addr: s.client.conn.addr, write: s.run.crossingStarted})
	s.reportReady()
	<-s.run.crossingStarted
	return true
}

// reportReady tells the cell, once, that the scenario need not wait for this client any more.
func (s *matrixSession) reportReady() {
	if s.script.reportsReady && !s.ready {
		s.ready = true
		s.run.clientsReady.Done()
	}
}

// runBatch sends a batch and awaits its answers. Requests that the router did not read are sent again.
// It reports false if the router takes no more connections.
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

// maxResends returns how often a request may be sent again. Where descriptors are few, the router often
// closes connections unread.
func (s *matrixSession) maxResends() int {
	if s.run.scenario == scenarioEvict {
		return maxCrowdResends
	}
	return maxResends
}

// pause returns the function that the client calls between the two parts of its first request, or nil
// if it writes the request at once. A client that is to report ready does so between the two parts, and
// waits there until caches may send the answers that they hold back.
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

// requestsToResend returns new requests for those that the router did not read, to be sent on a new
// connection.
func (s *matrixSession) requestsToResend(requests []*oracleRequest) (again []*oracleRequest) {
	for _, r := range s.run.oracle.unread(s.client.conn, requests) {
		again = append(again, &oracleRequest{id: r.id + "-again", class: r.class, timeout: r.timeout})
	}
	return again
}

// connect opens a connection unless one is open. It reports false if the router takes no more connections.
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
