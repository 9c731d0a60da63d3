package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["ids"] = playIDs }

// The dose of the case: streams of eventTokens tokens an event, numbered by their last token. The last
// event has what is left.
const (
	idStreams    = 6
	eventTokens  = 3
	streamTokens = 200
	idBytes      = 45
	idGap        = 5 * time.Millisecond
	idDeadline   = 20 * time.Second
)

// playIDs lets the ids of a stream increase by less with its last event than before. Without trouble
// that event is full too.
func playIDs(r *record, trouble bool) (bool, error) {
	run := &streamRun{size: idBytes, gap: idGap}
	for token := eventTokens; token <= streamTokens; token += eventTokens {
		run.ids = append(run.ids, token)
	}
	if last := run.ids[len(run.ids)-1]; trouble {
		run.ids = append(run.ids, streamTokens)
	} else {
		run.ids = append(run.ids, last+eventTokens)
	}
	var whole, lost atomic.Int64
	s, err := startSmallSite(func(c net.Conn, q *http.Request) bool {
		done := run.answer(r, c, q)
		if done {
			whole.Add(1)
		}
		return done
	})
	if err != nil {
		return false, err
	}
	defer s.close()
	time.Sleep(inTouch)
	for i := range idStreams {
		if err := readNumbered(r, s.hosts[0].front, fmt.Sprint("b", i), run.ids); err != nil {
			lost.Add(1)
			r.printf("client b%d: no complete answer: %v", i, err)
		}
	}
	r.printf("%d of %d kept channels ended without the complete answer", lost.Load(), idStreams)
	return lost.Load() <= maxLost, nil
}

// readNumbered sends a short request and then one for a stream on the same channel. It returns an error
// if an answer is not complete.
func readNumbered(r *record, address, id string, want []int) error {
	ch, err := openChannel(address, 0)
	if err != nil {
		return err
	}
	defer ch.Close()
	if err := sendFirst(r, ch, id); err != nil {
		return err
	}
	response, err := ch.send(request{path: "/note/1", id: id, deadline: idDeadline, fields: engineFields})
	if err != nil {
		return err
	}
	ids, err := readEvents(response, func(int) {})
	if err == nil && len(ids) != len(want) {
		err = io.ErrUnexpectedEOF
	}
	if err != nil {
		return fmt.Errorf("status %d, after %d of %d events, ids %v: %w", response.StatusCode, len(ids), len(want), lastOf(ids), err)
	}
	r.printf("client %s: status %d, complete, %d events, ids %v", id, response.StatusCode, len(ids), lastOf(ids))
	return nil
}

// lastOf returns the last few ids.
func lastOf(ids []int) []int { return ids[max(len(ids)-3, 0):] }
