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

// counterPollInterval is the interval at which WaitCounter reads counters.
const counterPollInterval = 20 * time.Millisecond

// Counter reads a counter of the host from /metrics; name is without the prefix
// "redwingloft_". Returns 0 if the counter is not listed.
func (h *Host) Counter(name string) (int64, error) {
	response, err := http.Get("http://" + h.AdminAddress + "/metrics")
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

// WaitCounter waits until the sum of the named counters is at least minimum.
func (h *Host) WaitCounter(minimum int64, timeout time.Duration, names ...string) error {
	deadline := time.Now().Add(timeout)
	for {
		sum := int64(0)
		for _, name := range names {
			value, err := h.Counter(name)
			if err != nil {
				return err
			}
			sum += value
		}
		if sum >= minimum {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("counter %s of %s is %d after %s, want at least %d", strings.Join(names, " + "), h.ID, sum, timeout, minimum)
		}
		time.Sleep(counterPollInterval)
	}
}

// EngineAddresses returns the addresses of all chat engines of the document.
func (s *Site) EngineAddresses() []string {
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
