package soaktest

import (
	"strings"
	"testing"
	"time"
)

// TestCheckerReportsFaults checks that the checker reports each fault of a router, and nothing else.
func TestCheckerReportsFaults(t *testing.T) {
	const timeout = time.Second
	start := time.Now()
	killed := start.Add(time.Hour)
	served := func(ck *checker, r *request, at time.Time) {
		r.connection.answers = append(r.connection.answers, answer{servedValue(r.id), at})
		ck.recordAttempt(attempt{id: r.id, timeout: timeout, arrived: start})
	}
	for name, c := range map[string]struct {
		class string
		setUp func(ck *checker, first, second *request)
		want  string // request and text of the only violation; none if it is empty
	}{
		"served": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			served(ck, second, start)
		}, ""},
		"left unread": {classRead, func(ck *checker, first, _ *request) {
			served(ck, first, start)
			first.connection.routerClosedAt, first.connection.bytesRead = start, first.endOffset
		}, ""},
		"left by its client": {classRead, func(ck *checker, first, _ *request) {
			first.connection.clientClosedAt = start
		}, ""},
		"read in part": {classRead, func(ck *checker, first, _ *request) {
			served(ck, first, start)
			first.connection.routerClosedAt, first.connection.bytesRead = start, first.endOffset+1
		}, "r1 .*read and not answered"},
		"found by SIGKILL": {classRead, func(ck *checker, first, _ *request) {
			served(ck, first, start)
			first.connection.routerClosedAt = killed
		}, "r1 .*SIGKILL found it unanswered"},
		"never answered": {classRead, func(ck *checker, first, _ *request) {
			served(ck, first, start)
		}, "r1 .*no answer and no end"},
		"answered late": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			served(ck, second, start.Add(timeout+lateAnswerLimit+2*machineSlack))
		}, "r1 .*late"},
		"answer of another request": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			second.connection.answers = append(second.connection.answers, answer{servedValue(first.id), start})
		}, "r1 .*wrong answer"},
		"protocol error": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			second.connection.answers = append(second.connection.answers, answer{"-ERR Protocol error: x", start})
		}, "r1 .*wrong answer"},
		"forwarded after the client's end": {classRead, func(ck *checker, first, _ *request) {
			first.connection.clientClosedAt = start
			at := start.Add(disconnectLimit + 2*machineSlack)
			ck.recordAttempt(attempt{id: first.id, arrived: at})
		}, "r0 .*after the client's end"},
		"forwarded after the answer": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			served(ck, second, start)
			ck.recordAttempt(attempt{id: first.id, arrived: start.Add(2 * machineSlack)})
		}, "r0 .*after the answer"},
		"told too long a timeout": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			served(ck, second, start)
			ck.recordAttempt(attempt{id: second.id, timeout: timeout + excessTimeoutLimit + 2*machineSlack, arrived: start})
		}, "r1 .*more than was left"},
		"answered after their clients gave up": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			late := start.Add(timeout + giveUpDelay + 2*giveUpSlack)
			first.connection.answers = []answer{{servedValue(first.id), late}, {servedValue(second.id), late}}
			second.writtenAt = late // the time spent waiting for the preceding answer does not count
			third := *first
			third.connection = &connection{requests: []*request{&third}, answers: first.connection.answers[:1]}
			ck.connections = append(ck.connections, third.connection)
		}, "r0 .*more like it"},
		"answered late behind a stop": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start)
			late := start.Add(timeout + giveUpDelay + 2*giveUpSlack)
			first.connection.answers = []answer{{servedValue(first.id), late}, {servedValue(second.id), late}}
			third := *first
			third.connection = &connection{requests: []*request{&third}, answers: first.connection.answers[:1]}
			ck.connections = append(ck.connections, third.connection)
			ck.recordStop(0, start, timeout+giveUpDelay)
		}, ""},
		"sent to a draining cache": {classRead, func(ck *checker, first, second *request) {
			served(ck, first, start.Add(2*drainGrace))
			served(ck, second, start.Add(2*drainGrace))
			first.timeout, second.timeout = 3*drainGrace, 3*drainGrace
			ck.recordNotified(0, endpoint{name: "c1", state: stateTerminating})
			ck.recordAttempt(attempt{id: first.id, cache: "c1", arrived: time.Now().Add(drainGrace + 2*machineSlack)})
		}, "r0 .*drain"},
		"run twice": {classOnce, func(ck *checker, first, second *request) {
			served(ck, first, start)
			served(ck, second, start)
			ck.recordAttempt(attempt{id: second.id, arrived: start})
		}, "r1 .*duplicate"},
		"repeated after the window": {classPut, func(ck *checker, first, second *request) {
			served(ck, first, start.Add(timeout))
			served(ck, second, start.Add(timeout))
			ck.recordAttempt(attempt{id: first.id, arrived: start.Add(keyTTL + 2*machineSlack)})
		}, "r0 .*duplicate"},
	} {
		t.Run(name, func(t *testing.T) {
			ck := newChecker()
			connection := ck.addConnection(0, false)
			var requests []*request
			for _, id := range []string{"r0", "r1"} {
				r := &request{id: id, class: c.class, timeout: timeout, wire: []byte("request")}
				ck.addRequest(connection, r)
				r.writtenAt = start
				requests = append(requests, r)
			}
			c.setUp(ck, requests[0], requests[1])
			wantViolation(t, ck.check([]time.Time{killed}).violations, c.want)
		})
	}
}

// wantViolation checks that there is one violation, with the request and the text of want, or none if it is empty.
func wantViolation(t *testing.T, got []string, want string) {
	t.Helper()
	if want == "" {
		if len(got) > 0 {
			t.Errorf("violations %q", got)
		}
		return
	}
	id, reason, _ := strings.Cut(want, ".*")
	if len(got) != 1 || !strings.HasPrefix(got[0], id) || !strings.Contains(got[0], reason) {
		t.Errorf("violations %q, want one of %q", got, want)
	}
}
