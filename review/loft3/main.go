package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(*run) (broken bool, err error){
	"directory": playDirectory,
	"heads":     playHeads,
	"preface":   playPreface,
	"trickle":   playTrickle,
}

// run is one play of a case.
type run struct {
	// trouble is false if the case is played without the disruption.
	trouble bool
	started time.Time

	mu     sync.Mutex
	record *os.File
}

// note writes a line to the record.
func (r *run) note(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, values...))
}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: loft3 CASE RECORD")
		return exitNotRun
	}
	record, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer record.Close()
	r := &run{trouble: os.Getenv("TROUBLE") != "0", started: time.Now(), record: record}
	r.note("case %s, trouble %v", os.Args[1], r.trouble)
	broken, err := cases[os.Args[1]](r)
	switch {
	case err != nil:
		r.note("the case could not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case broken:
		r.note("the rule was broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.note("the rule held")
	fmt.Println("held")
	return exitHeld
}
