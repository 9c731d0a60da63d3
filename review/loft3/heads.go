package main

import (
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// headClients is the number of clients at each host that send a head without end.
	headClients = 600
	// headBytes is what each of them sends of it.
	headBytes = 60 << 10
	// headOpen is how long they wait for the host to close the channel.
	headOpen = 8 * time.Second
	// headTime is the length of the case.
	headTime = 30 * time.Second
	// restartDelay is the delay after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
	// faultEnds is the number of ends of a process from which its machine counts, and faultHosts that of
	// machines.
	faultEnds, faultHosts = 3, 2
)

// headWithoutEnd returns the start of a request head whose short fields all have other names.
func headWithoutEnd(size int) string {
	var text strings.Builder
	text.WriteString("POST /book/1 HTTP/1.1\r\nHost: " + virtualHost + "\r\n")
	for i := 0; text.Len() < size; i++ {
		text.WriteString(strconv.FormatInt(int64(i), 36) + ":\r\n")
	}
	return text.String()
}

// playHeads lets clients at two hosts send heads without end. The platform kills a process that exceeds the
// memory of its machine, and starts it again.
func playHeads(r *run) (bool, error) {
	s := &site{program: "target/redwingloft", template: "deploy/entry.ini", document: document}
	defer s.close()
	if err := startBookings(s, "frontend-1", "frontend-2"); err != nil {
		return false, err
	}
	r.note("two hosts are ready; each may use %d MB", s.memoryMb)
	stop := make(chan struct{})
	var callers ordinary
	var group sync.WaitGroup
	ends := make([]int, len(s.hosts))
	peaks := make([]float64, len(s.hosts))
	for i, h := range s.hosts {
		callers.start(r, h, sendOrdinary, 1, 500*time.Millisecond, stop)
		group.Go(func() { ends[i], peaks[i] = superviseMemory(r, h, float64(s.memoryMb), stop) })
		if r.trouble {
			group.Go(func() { sendHeads(h, headWithoutEnd(headBytes), stop) })
		}
	}
	if r.trouble {
		r.note("%d clients at each host send heads of %d bytes without an end", headClients, headBytes)
	}
	time.Sleep(headTime)
	close(stop)
	group.Wait()
	callers.group.Wait()
	sent, served := callers.counts()
	count := 0
	for i, h := range s.hosts {
		r.note("%s: %d ends, peak %.0f of %d MB", h.name, ends[i], peaks[i], s.memoryMb)
		fmt.Printf("%s: %d ends, peak %.0f of %d MB\n", h.name, ends[i], peaks[i], s.memoryMb)
		if ends[i] >= faultEnds {
			count++
		}
	}
	r.note("ordinary requests: %d sent, %d served", sent, served)
	if !r.trouble && served == 0 {
		return false, fmt.Errorf("no ordinary request was served")
	}
	return count >= faultHosts, nil
}

// superviseMemory does what the platform does with a process: it kills one that exceeds the memory of its
// machine, and starts one that has ended again. It returns the number of ends and the highest memory seen.
func superviseMemory(r *run, h *host, limitMb float64, stop <-chan struct{}) (ends int, peakMb float64) {
	for {
		select {
		case <-stop:
			return ends, peakMb
		case <-time.After(50 * time.Millisecond):
		}
		used := h.residentMb()
		peakMb = max(peakMb, used)
		if used <= limitMb && !h.hasEnded() {
			continue
		}
		ends++
		r.note("%s: end %d, resident memory %.0f of %.0f MB", h.name, ends, used, limitMb)
		h.kill()
		time.Sleep(restartDelay)
		if err := h.launch(); err != nil {
			r.note("%s: not started: %v", h.name, err)
		}
	}
}

// sendHeads lets clients send the head and wait until the host closes their channel, again and again.
func sendHeads(h *host, head string, stop <-chan struct{}) {
	var group sync.WaitGroup
	defer group.Wait()
	for range headClients {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				holdChannel(h.address, head, headOpen, stop)
			}
		})
	}
}

// holdChannel opens a channel, sends a text and reads until the host closes it, for at most the given time. It
// returns the time at which the channel was open; zero if it was not.
func holdChannel(address, text string, open time.Duration, stop <-chan struct{}) (opened time.Time) {
	c, err := net.DialTimeout("tcp", address, connectTime)
	if err != nil {
		return time.Time{}
	}
	defer c.Close()
	opened = time.Now()
	done := make(chan struct{})
	defer close(done)
	go func() {
		select {
		case <-stop:
			_ = c.Close()
		case <-done:
		}
	}()
	_ = c.SetDeadline(time.Now().Add(open))
	if _, err := io.WriteString(c, text); err == nil {
		_, _ = io.Copy(io.Discard, c)
	}
	return opened
}
