package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["restore"] = restore }

// restore: clients whose connections were open before the run come to a proxy that has started and answers PONG, while discovery has too many callers.
func restore(e *env) (bool, error) {
	servers, d, err := e.fleet(buurtstroomOost, 15)
	if err != nil {
		return false, err
	}
	// The list that the proxy last had is from before the last server joined.
	d.revs["s-15"] = 1
	old, _ := json.Marshal(map[string]any{"rev": 0, "all": true, "targets": d.targets[:14]})
	address := freeAddress()
	if e.trouble {
		d.crowd(allCall)
	}
	p, err := e.start(proxyOptions{name: "n1", listen: address, discovery: d.address, known: old, site: buurtstroomOost})
	if err != nil {
		return false, err
	}
	if err := awaitReady(address, 10*time.Second); err != nil {
		return false, err
	}
	var group sync.WaitGroup
	var mu sync.Mutex
	lost := 0
	for i := range 30 {
		group.Add(1)
		go func() {
			defer group.Done()
			uid := servers[i%15].uid
			answer := func() string {
				var conn net.Conn
				for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
					if conn, err = net.Dial("tcp", address); err == nil || time.Now().After(end) {
						break
					}
				}
				if conn == nil {
					return "not taken"
				}
				defer conn.Close()
				_ = conn.SetDeadline(time.Now().Add(40 * time.Second))
				fmt.Fprintf(conn, "OPEN %016x %016x c=opwek-live,d=40000,at=%s\r\n", i+1, i+1, uid)
				e.rec.log("client %d asks for its connection at %s", i+1, uid)
				line, _ := bufio.NewReader(conn).ReadString('\n')
				return strings.TrimRight(line, "\r\n")
			}()
			e.rec.log("client %d, open at %s before: answered %q", i+1, uid, answer)
			if !strings.HasPrefix(answer, "UP "+uid) {
				mu.Lock()
				lost++
				mu.Unlock()
			}
		}()
	}
	group.Wait()
	e.rec.log("judge: %d of 30 connections that were open before the run were not up after 40 s", lost)
	if p.hasEnded() {
		return false, errors.New("the proxy has ended")
	}
	return lost > 0, nil
}
