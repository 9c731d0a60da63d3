package lab

import (
	"net"
	"sync"
)

// Proxy passes channels on to an address. Its open channels can fall silent.
type Proxy struct {
	Address, Target string

	mu    sync.Mutex
	pairs map[*pair]struct{}
}

// pair is a channel with its continuation.
type pair struct {
	ends   [2]net.Conn
	mu     sync.Mutex
	silent bool
}

// NewProxy starts a proxy on a free port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: listener.Addr().String(), Target: target, pairs: map[*pair]struct{}{}}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return p, nil
}

func (p *Proxy) pass(c net.Conn) {
	target, err := net.Dial("tcp", p.Target)
	if err != nil {
		_ = c.Close()
		return
	}
	passed := &pair{ends: [2]net.Conn{c, target}}
	p.mu.Lock()
	p.pairs[passed] = struct{}{}
	p.mu.Unlock()
	var done sync.WaitGroup
	done.Go(func() { passed.copy(c, target) })
	done.Go(func() { passed.copy(target, c) })
	done.Wait()
	p.mu.Lock()
	delete(p.pairs, passed)
	p.mu.Unlock()
}

// copy passes bytes on until the channel ends. Bytes of a silent channel are dropped, and so is its
// end.
func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		silent := p.silent
		p.mu.Unlock()
		if silent {
			if err != nil {
				_ = from.Close()
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				err = writeErr
			}
		}
		if err != nil {
			_ = from.Close()
			_ = to.Close()
			return
		}
	}
}

// Silence makes all open channels silent for good; new ones work. It returns their number.
func (p *Proxy) Silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	for open := range p.pairs {
		open.mu.Lock()
		open.silent = true
		open.mu.Unlock()
	}
	return len(p.pairs)
}
