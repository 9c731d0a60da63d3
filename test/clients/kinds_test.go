package clients

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

// kinds are the behaviours of clients that exceed the limits or never end what they send. Each is for
// requests with a head, which lacks its framing.
var kinds = map[string]func(head string) client{
	"empty lines":             func(string) client { return flood("", "\r\n") },
	"endless request line":    func(string) client { return flood("GET /", "x") },
	"endless field":           func(head string) client { return flood(head+"X-Field: ", "x") },
	"endless head":            func(head string) client { return flood(head, "X-Field: value\r\n") },
	"endless chunks":          func(head string) client { return flood(head+chunked, "10\r\n0123456789abcdef\r\n") },
	"endless large chunks":    func(head string) client { return flood(head+chunked, "10000\r\n"+strings.Repeat("x", 64<<10)+"\r\n") },
	"giant chunk":             func(head string) client { return flood(head+chunked+"7fffffffffffffff\r\n", "x") },
	"endless chunk extension": func(head string) client { return flood(head+chunked+"1;", "x") },
	"endless trailers":        func(head string) client { return flood(head+chunked+"1\r\nx\r\n0\r\n", "X-Field: value\r\n") },
	"far too long body": func(head string) client {
		return flood(head+fmt.Sprintf("Content-Length: %d\r\n\r\n", int64(1)<<40), "x")
	},
	"head that stops short": headThatStopsShort,
	"body one byte short": func(head string) client {
		return func(_ int, c net.Conn) {
			_, _ = io.WriteString(c, head+"Content-Length: 2\r\n\r\nx")
			time.Sleep(time.Second)
		}
	},
	"whole bodies over the limit": func(head string) client {
		return func(_ int, c net.Conn) {
			_, _ = fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, 2*maxBodyBytes, strings.Repeat("x", 2*maxBodyBytes))
			_, _ = io.Copy(io.Discard, c)
		}
	},
}

const chunked = "Transfer-Encoding: chunked\r\n\r\n"

// allKinds returns a behaviour by which each client of a group takes one of the kinds or is silent.
func allKinds(head string) client {
	list := []client{silent}
	for _, behave := range kinds {
		list = append(list, behave(head))
	}
	return func(i int, c net.Conn) { list[i%len(list)](i, c) }
}

// flood returns a behaviour that sends start and then repeats a text until the host closes the connection,
// and reads nothing.
func flood(start, repeated string) client {
	block := []byte(strings.Repeat(repeated, max(1, (64<<10)/len(repeated))))
	return func(_ int, c net.Conn) {
		_ = c.SetDeadline(time.Now().Add(floodTime))
		if _, err := io.WriteString(c, start); err != nil {
			return
		}
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

// pipeline returns a behaviour that sends a request without end and reads no response.
func pipeline(request string) client { return flood("", request) }

// headThatStopsShort returns a behaviour that sends a long head without its end.
func headThatStopsShort(head string) client {
	return func(_ int, c net.Conn) {
		_, _ = io.WriteString(c, head+"Padding: "+strings.Repeat("x", 12<<10))
		time.Sleep(time.Second)
	}
}

// silent sends nothing.
func silent(int, net.Conn) { time.Sleep(time.Second) }
