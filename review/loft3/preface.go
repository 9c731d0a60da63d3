package main

import (
	"fmt"
	"time"
)

// prefaceStart is the start of a head.
const prefaceStart = "PRI * HTTP/2.0\r\n"

// playPreface has clients that begin a head with the first line of an HTTP/2 connection and don't end it.
func playPreface(r *run) (bool, error) {
	return playCrowd(r, crowdPlan{
		what: fmt.Sprintf("the start of a head, %q, and no more", prefaceStart), clients: crowdClients, address: callersAddress, send: sendOrdinary,
		hold: func(address string, stop <-chan struct{}) time.Time {
			return holdChannel(address, prefaceStart, crowdTime, stop)
		},
	})
}
