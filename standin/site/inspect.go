package site

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"redwingloft/internal/data/document"
)

// counterPeriod is the time between two reads of a counter that is waited for.
const counterPeriod = 20 * time.Millisecond

// Counter returns a counter of a host by its name at /metrics, without the prefix
// "redwingloft_". A counter that is not listed is 0.
func (h *Host) Counter(name string) (int64, error) {
	response, err := http.Get("http://" + h.Admin + "/metrics")
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, found := strings.CutPrefix(lines.Text(), "redwingloft_"+name+" "); found {
			return strconv.ParseInt(text, 10, 64)
		}
	}
	return 0, lines.Err()
}

// WaitCounter waits until a counter has at least the given value.
func (h *Host) WaitCounter(name string, least int64, timeout time.Duration) error {
	end := time.Now().Add(timeout)
	for {
		value, err := h.Counter(name)
		if err != nil {
			return err
		}
		if value >= least {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("counter %s of %s is %d after %s; %d is waited for", name, h.ID, value, timeout, least)
		}
		time.Sleep(counterPeriod)
	}
}

// Engines returns the addresses of all engines that generate text.
func (s *Site) Engines() []string {
	var addresses []string
	for _, group := range s.Options.Document.Groups {
		if group.Kind != document.GroupChat {
			continue
		}
		for _, upstream := range group.Upstreams {
			addresses = append(addresses, string(upstream.Address))
		}
	}
	return addresses
}
