package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// proxy is a link between one machine and the store. It can hold up all bytes in the direction to the
// machine, as a partition of that direction does, and passes them on when it heals.
type proxy struct {
	address, target string
	// onRequest is called with the bytes that the machine sends; it may be nil.
	onRequest func(data []byte)

	mu   sync.Mutex
	cut  bool
	heal chan struct{}
}

// startProxy starts a link to a target that works in both directions.
func startProxy(target string, onRequest func(data []byte)) (*proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{address: listener.Addr().String(), target: target, onRequest: onRequest}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.connect(c)
		}
	}()
	return p, nil
}

func (p *proxy) connect(machine net.Conn) {
	defer machine.Close()
	store, err := net.DialTimeout("tcp", p.target, time.Second)
	if err != nil {
		return
	}
	defer store.Close()
	go func() {
		// The store learns that the machine has closed the channel.
		defer store.Close()
		p.pass(machine, store, func(data []byte) {
			if p.onRequest != nil {
				p.onRequest(data)
			}
		})
	}()
	p.pass(store, machine, func([]byte) { p.wait() })
}

// pass copies bytes and calls before for each piece first.
func (p *proxy) pass(from, to net.Conn, before func(data []byte)) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			before(buffer[:n])
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if errors.Is(err, io.EOF) || err != nil {
			return
		}
	}
}

// wait returns once the direction to the machine is open.
func (p *proxy) wait() {
	p.mu.Lock()
	heal, cut := p.heal, p.cut
	p.mu.Unlock()
	if cut {
		<-heal
	}
}

// setCut cuts the direction to the machine or opens it.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if cut && !p.cut {
		p.heal = make(chan struct{})
	}
	if !cut && p.cut {
		close(p.heal)
	}
	p.cut = cut
}
