//go:build review

// Case 6: after clients that send much at once and go, a router rejects all that it gets, for as long as it runs.
package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"sync/atomic"
	"time"

	lab "marlstage/review/lab-2"
)

const (
	badClients  = 40  // one after the other
	badCommands = 500 // sent at once by each
	goodClients = 4
	watchTime   = 20 * time.Second // in which the good clients' answers are judged
	rejectTime  = 4 * time.Second  // the bound of the rule
	rejectCount = 15               // the bound of the rule
	servedShare = .2               // the bound of the rule
)

type answer struct {
	at     time.Time
	text   string
	served bool
}

var (
	rec      = lab.NewRecord()
	received atomic.Int64 // requests that reached a cache server
	lastID   atomic.Int64
)

func main() { os.Exit(run()) }

func run() int {
	defer rec.Close()
	var caches []*lab.Cache
	for i := range 3 {
		workers := lab.NewWorkers(64, 64)
		c, err := lab.StartCache(fmt.Sprintf("cache-%d", i+1), func(c *lab.Command) []byte {
			received.Add(1)
			if !workers.Do(time.Duration(2+rand.IntN(4)) * time.Millisecond) {
				return []byte("-BUSY\r\n")
			}
			return lab.Served("value of "+c.Args[1], "hit")
		})
		if err != nil {
			rec.Say("can't run: %v", err)
			return lab.CantRun
		}
		caches = append(caches, c)
	}
	agent, err := lab.StartAgent(1, caches...)
	if err != nil {
		rec.Say("can't run: %v", err)
		return lab.CantRun
	}
	router, err := lab.StartRouter(agent, lab.SmallSettings(), lab.SmallLimits())
	if err != nil {
		rec.Say("can't run: %v", err)
		return lab.CantRun
	}
	defer func() { rec.Add("the router's log:\n%s", router.Kill()) }()

	if _, share := goodTraffic(router, 3*time.Second); share < .9 {
		rec.Say("can't run: only %.2f served before the bad clients", share)
		return lab.CantRun
	}
	for i := range badClients {
		if err := badClient(router, i); err != nil {
			rec.Say("can't run: %v", err)
			return lab.CantRun
		}
	}
	rec.Say("the bad clients are gone; 5 s of rest follow")
	time.Sleep(5 * time.Second)
	span, share := goodTraffic(router, watchTime)
	if router.Ended() {
		rec.Say("BROKEN: the router has ended")
		return lab.Broken
	}
	if span >= rejectTime && share < servedShare {
		rec.Say("BROKEN: all requests were rejected for %.1f s on end, with no attempt; %.3f served", span.Seconds(), share)
		return lab.Broken
	}
	rec.Say("held: %.3f served", share)
	return lab.Held
}

// badClient sends many commands at once and goes within 0.1 s. Without the disruption it reads its answers first.
func badClient(router *lab.Router, n int) error {
	c, err := lab.Dial(router.Addr)
	if err != nil {
		return err
	}
	defer c.Close()
	var batch []byte
	for range badCommands {
		batch = append(batch, get()...)
	}
	go c.Write(batch)
	if !lab.Trouble() {
		c.SetReadDeadline(time.Now().Add(5 * time.Second))
		for range badCommands {
			if _, err := c.ReadReply(); err != nil {
				return fmt.Errorf("client %d: %w", n, err)
			}
		}
		rec.Add("client %d: %d commands sent, all answered", n, badCommands)
		return nil
	}
	stay := time.Duration(20+rand.IntN(40)) * time.Millisecond
	time.Sleep(stay)
	rec.Add("client %d: %d commands sent, closed after %v", n, badCommands, stay)
	return nil
}

func get() []byte {
	return lab.Encode("C.GET", fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", lastID.Add(1)), "c=page-view,d=2000")
}

func set() []byte {
	options := fmt.Sprintf("c=annotate,d=4000,k=%016x", rand.Uint64())
	return lab.Encode("C.SET", fmt.Sprintf("%016x", rand.Uint64()), fmt.Sprintf("%016x", lastID.Add(1)), options, "v")
}

// goodTraffic has clients send one request after the other, ten a second each. It returns the longest span in which
// at least rejectCount requests were answered, all with a rejection, and no attempt began, and the share served.
func goodTraffic(router *lab.Router, length time.Duration) (span time.Duration, share float64) {
	answers := make(chan answer, 10000)
	done := make(chan struct{})
	end := time.Now().Add(length)
	for range goodClients {
		go func() {
			defer func() { done <- struct{}{} }()
			for n := 0; time.Now().Before(end); n++ {
				command := get()
				if n%5 == 4 {
					command = set()
				}
				answers <- exchange(router, command)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	go func() {
		for range goodClients {
			<-done
		}
		close(answers)
	}()
	total, served, rejected := 0, 0, 0
	var begin time.Time
	before := received.Load()
	for a := range answers {
		rec.Add("answer %q", a.text)
		total++
		if a.served {
			served++
		}
		if rejection := len(a.text) > 4 && a.text[:5] == "-BUSY"; !rejection || received.Load() != before {
			begin, rejected, before = time.Time{}, 0, received.Load()
			continue
		}
		if begin.IsZero() {
			begin = a.at
		}
		if rejected++; rejected >= rejectCount {
			span = max(span, a.at.Sub(begin))
		}
	}
	share = float64(served) / float64(max(1, total))
	rec.Say("%d good requests, %d served, rejected without an attempt for %.1f s on end", total, served, span.Seconds())
	return span, share
}

// exchange sends one request on a connection of its own and returns its answer.
func exchange(router *lab.Router, command []byte) answer {
	c, err := lab.Dial(router.Addr)
	if err != nil {
		return answer{time.Now(), err.Error(), false}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	c.Write(command)
	text, err := c.ReadReply()
	if err != nil {
		text = err.Error()
	}
	return answer{time.Now(), text, len(text) > 0 && text[0] == '$'}
}
