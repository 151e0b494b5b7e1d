package router

import (
	"fmt"
	"time"
)

const (
	followingBatches   = 4                      // of a client after the situation has begun
	crowdSize          = 30                     // clients that take turns at few descriptors
	maxCrowdResends    = 100                    // of a request in a crowd
	crowdBatches       = 4                      // of each of them
	lateClients        = 40                     // clients that send their first command late
	lateCommandTimeout = 100 * time.Millisecond // for a first command, where clients send theirs about then
	lateCommandSpread  = 20 * time.Millisecond  // over which their first commands are spread
)

// clientScript is what a client of the matrix does.
type clientScript struct {
	name     string
	batches  []requestBatch
	connects bool                  // it connects before its first batch may be written
	meets    bool                  // it is waited for before the situation begins
	leave    func(c *oracleClient) // if not nil, how it leaves over its last batch instead of waiting
}

// requestBatch is a number of requests that a client writes at once, and whose answers it awaits.
type requestBatch struct {
	class    string
	size     int
	inPieces bool          // the first request comes in two, between which the situation begins if it meets
	hung     bool          // no cache ever answers it, and the client waits for a short time
	held     bool          // caches hold back the answer to one of them
	begins   chan struct{} // if not nil, closed when the batch may be written
	meets    bool          // the situation begins once the batch is written
	crosses  bool          // it is written when the router looks at the connection before it ends it
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
	switch m.situation {
	case situationEvict:
		return m.crowd()
	case situationLateCommand:
		return m.lateCommands()
	}
	scripts := []clientScript{
		m.script("sequential", requestBatch{class: classRead, size: 1}, 3, true),
		m.script("pipelined", requestBatch{class: classRead, size: 5}, 1, true),
		m.script("slow", requestBatch{class: classRead, size: 2, inPieces: true}, 1, false),
		m.script("put", requestBatch{class: classPut, size: 2}, 2, true),
		m.script("once", requestBatch{class: classOnce, size: 2}, 2, true),
		m.script("hung", requestBatch{class: classRead, size: 1, hung: true}, 0, false),
		m.script("idle", requestBatch{class: classRead, size: 1}, 1, false),
		{name: "late", batches: repeated(2, requestBatch{class: classRead, size: 2, begins: m.fired})},
		m.restingScript(),
	}
	if m.situation == situationClientLeaves {
		scripts = append(scripts, m.leavingScripts()...)
	}
	return scripts
}

// script returns a client that sends some batches, one that the situation finds in flight, and more.
func (m *matrixRun) script(name string, batch requestBatch, before int, inFlight bool) clientScript {
	batches := repeated(before, batch)
	meeting := batch
	meeting.meets, meeting.held = true, inFlight
	batches = append(batches, meeting)
	following := batch
	following.begins = m.fired
	count := followingBatches
	if batch.hung {
		count = 1
	}
	return clientScript{name: name, batches: append(batches, repeated(count, following)...), meets: true}
}

// restingScript returns a client whose connection is at rest when the situation begins, and which
// sends as the router is ending the connection, if it does.
func (m *matrixRun) restingScript() clientScript {
	return clientScript{name: "resting", meets: true, batches: []requestBatch{
		{class: classRead, size: 1},
		{class: classRead, size: 3, crosses: true},
		{class: classRead, size: 1},
	}}
}

// crowd returns more clients than there are descriptors.
func (m *matrixRun) crowd() (scripts []clientScript) {
	for i := range crowdSize {
		scripts = append(scripts, clientScript{
			name:    fmt.Sprint("crowd", i),
			batches: repeated(crowdBatches, requestBatch{class: classRead, size: 1 + i%3}),
		})
	}
	return scripts
}

// lateCommands returns clients that send their first command as the time for it ends.
func (m *matrixRun) lateCommands() (scripts []clientScript) {
	for i := range lateClients {
		begins := make(chan struct{})
		early := lateCommandSpread/2 - lateCommandSpread*time.Duration(i)/lateClients
		time.AfterFunc(lateCommandTimeout-early, func() { close(begins) })
		scripts = append(scripts, clientScript{
			name:     fmt.Sprint("late", i),
			connects: true,
			batches:  []requestBatch{{class: classRead, size: 1 + i%3, begins: begins}},
		})
	}
	return scripts
}

// leavingScripts returns clients that leave while their requests are in flight, or at once after
// writing them.
func (m *matrixRun) leavingScripts() (scripts []clientScript) {
	leave := map[string]func(*oracleClient){"close": (*oracleClient).close, "reset": (*oracleClient).reset}
	for how, leave := range leave {
		inFlight := requestBatch{class: classRead, size: 3, held: true, meets: true}
		unread := requestBatch{class: classRead, size: 3, begins: m.fired}
		scripts = append(scripts,
			clientScript{name: "leaves in flight by " + how, batches: []requestBatch{inFlight}, meets: true, leave: leave},
			clientScript{name: "leaves at once by " + how, batches: []requestBatch{unread}, leave: leave},
			clientScript{
				name:    "leaves a used connection by " + how,
				batches: []requestBatch{{class: classPut, size: 1, meets: true}, unread},
				meets:   true,
				leave:   leave,
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
	met    bool // the situation need not wait for the client any more
}

// runClient plays a client.
func (m *matrixRun) runClient(script clientScript) {
	s := &matrixSession{run: m, script: script}
	defer s.meet()
	if script.connects && !s.connect() {
		return
	}
	for i, batch := range script.batches {
		if batch.begins != nil {
			<-batch.begins
		}
		if batch.crosses && !s.awaitCrossing() {
			return
		}
		last := i == len(script.batches)-1
		if !s.perform(i, batch, last) {
			return
		}
	}
	if s.client != nil {
		s.client.close()
		<-s.client.ended
	}
}

// awaitCrossing lets the situation begin and waits for the router to look at the connection before it
// ends it. It reports false if the router takes no more connections.
func (s *matrixSession) awaitCrossing() bool {
	if !s.connect() {
		return false
	}
	s.run.system.crossing.Store(&closeCrossing{addr: s.client.conn.addr, write: s.run.crossed})
	s.meet()
	<-s.run.crossed
	return true
}

// meet lets the situation begin, as far as this client is concerned.
func (s *matrixSession) meet() {
	if s.script.meets && !s.met {
		s.met = true
		s.run.arrived.Done()
	}
}

// perform sends a batch and awaits its answers, with what the router did not read sent again. It
// reports false if the router takes no more connections.
func (s *matrixSession) perform(number int, batch requestBatch, last bool) bool {
	requests := s.newRequests(number, batch)
	for range 1 + s.maxResends() {
		if !s.connect() {
			return false
		}
		s.client.send(requests, s.pause(batch))
		s.sent += len(requests)
		if batch.meets {
			s.meet()
		}
		if last && s.script.leave != nil {
			if batch.meets {
				<-s.run.fired
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
		requests = s.resent(requests)
		if len(requests) == 0 {
			return true
		}
	}
	s.run.t.Errorf("%s: the router did not read a request on %d connections", requests[0].id, s.maxResends()+1)
	return true
}

// maxResends returns how often a request may be sent again. Few descriptors can be shut unread often.
func (s *matrixSession) maxResends() int {
	if s.run.situation == situationEvict {
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
	case !batch.meets:
		return func() {}
	default:
		return func() {
			s.meet()
			<-s.run.released
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

// resent returns the requests that are to be sent again on a new connection, as new ones.
func (s *matrixSession) resent(requests []*oracleRequest) (again []*oracleRequest) {
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
		if s.run.situation != situationTerminate {
			s.run.t.Errorf("%s could not connect: %v", s.script.name, err)
		}
		return false
	}
	s.client, s.sent = client, 0
	return true
}
