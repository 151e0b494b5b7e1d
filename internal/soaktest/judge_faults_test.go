package soaktest

import (
	"strings"
	"testing"
	"time"
)

// TestJudgeReportsFaults checks that the judge reports each fault of a router, and nothing else.
func TestJudgeReportsFaults(t *testing.T) {
	const timeout = time.Second
	begun := time.Now()
	killed := begun.Add(time.Hour)
	served := func(j *judge, r *request, at time.Time) {
		r.connection.answers = append(r.connection.answers, answer{servedBy(r.id), at})
		j.attemptArrived(attempt{id: r.id, timeout: timeout, arrived: begun})
	}
	for name, c := range map[string]struct {
		class string
		play  func(j *judge, first, second *request)
		want  string // in the only violation; none if it is empty
	}{
		"served": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			served(j, second, begun)
		}, ""},
		"left unread": {classRead, func(j *judge, first, _ *request) {
			served(j, first, begun)
			first.connection.routerEnd, first.connection.read = begun, first.end
		}, ""},
		"left by its client": {classRead, func(j *judge, first, _ *request) {
			first.connection.clientEnd = begun
		}, ""},
		"read in part": {classRead, func(j *judge, first, _ *request) {
			served(j, first, begun)
			first.connection.routerEnd, first.connection.read = begun, first.end+1
		}, "r1 .*read and not answered"},
		"found by SIGKILL": {classRead, func(j *judge, first, _ *request) {
			served(j, first, begun)
			first.connection.routerEnd = killed
		}, "r1 .*SIGKILL found it unanswered"},
		"never answered": {classRead, func(j *judge, first, _ *request) {
			served(j, first, begun)
		}, "r1 .*no answer and no end"},
		"answered late": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			served(j, second, begun.Add(timeout+lateReplyLimit+2*machineSlack))
		}, "r1 .*late"},
		"answer of another request": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			second.connection.answers = append(second.connection.answers, answer{servedBy(first.id), begun})
		}, "r1 .*wrong answer"},
		"protocol error": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			second.connection.answers = append(second.connection.answers, answer{"-ERR Protocol error: x", begun})
		}, "r1 .*wrong answer"},
		"forwarded after the client's end": {classRead, func(j *judge, first, _ *request) {
			first.connection.clientEnd = begun
			at := begun.Add(disconnectLimit + 2*machineSlack)
			j.attemptArrived(attempt{id: first.id, arrived: at})
		}, "r0 .*after the client's end"},
		"forwarded after the answer": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			served(j, second, begun)
			j.attemptArrived(attempt{id: first.id, arrived: begun.Add(2 * machineSlack)})
		}, "r0 .*after the answer"},
		"told too long a timeout": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			served(j, second, begun)
			j.attemptArrived(attempt{id: second.id, timeout: timeout + timeoutLimit + 2*machineSlack, arrived: begun})
		}, "r1 .*more than was left"},
		"answered after their clients gave up": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			late := begun.Add(timeout + promptLimit + 2*promptSlack)
			first.connection.answers = []answer{{servedBy(first.id), late}, {servedBy(second.id), late}}
			second.writtenAt = late // the time spent waiting for the answer before does not count
			third := *first
			third.connection = &connection{requests: []*request{&third}, answers: first.connection.answers[:1]}
			j.connections = append(j.connections, third.connection)
		}, "r0 .*more like it"},
		"answered late behind a stop": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun)
			late := begun.Add(timeout + promptLimit + 2*promptSlack)
			first.connection.answers = []answer{{servedBy(first.id), late}, {servedBy(second.id), late}}
			third := *first
			third.connection = &connection{requests: []*request{&third}, answers: first.connection.answers[:1]}
			j.connections = append(j.connections, third.connection)
			j.stopped(0, begun, timeout+promptLimit)
		}, ""},
		"sent to a draining cache": {classRead, func(j *judge, first, second *request) {
			served(j, first, begun.Add(2*drainGrace))
			served(j, second, begun.Add(2*drainGrace))
			first.timeout, second.timeout = 3*drainGrace, 3*drainGrace
			j.toldOf(0, endpoint{name: "c1", state: stateTerminating})
			j.attemptArrived(attempt{id: first.id, cache: "c1", arrived: time.Now().Add(drainGrace + 2*machineSlack)})
		}, "r0 .*drain"},
		"run twice": {classOnce, func(j *judge, first, second *request) {
			served(j, first, begun)
			served(j, second, begun)
			j.attemptArrived(attempt{id: second.id, arrived: begun})
		}, "r1 .*duplicate"},
		"repeated after the window": {classPut, func(j *judge, first, second *request) {
			served(j, first, begun.Add(timeout))
			served(j, second, begun.Add(timeout))
			j.attemptArrived(attempt{id: first.id, arrived: begun.Add(keyWindow + 2*machineSlack)})
		}, "r0 .*duplicate"},
	} {
		t.Run(name, func(t *testing.T) {
			j := newJudge()
			connection := j.connected(0, false)
			var requests []*request
			for _, id := range []string{"r0", "r1"} {
				r := &request{id: id, class: c.class, timeout: timeout, wire: []byte("request")}
				j.willWrite(connection, r)
				r.writtenAt = begun
				requests = append(requests, r)
			}
			c.play(j, requests[0], requests[1])
			wantViolation(t, j.verdict([]time.Time{killed}).violations, c.want)
		})
	}
}

// wantViolation checks that there is one violation, of the request and for the reason that want names.
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
