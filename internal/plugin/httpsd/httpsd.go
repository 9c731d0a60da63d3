// Package httpsd reads the platform's host list in the JSON format of Prometheus
// HTTP service discovery.
package httpsd

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"time"

	"redwingloft/internal/kernel"
	"redwingloft/pkg/api"
)

// Name is the name of the plug-in in the settings.
const Name = "http_sd"

const (
	// maxListBytes bounds the response body. 1,500 upstreams with their labels need about 200 KB.
	maxListBytes = 4 << 20
	// maxErrorText bounds the bytes of an error response that are quoted in the error.
	maxErrorText = 200
)

// The labels of a target group.
const (
	labelState      = "state"
	labelGroup      = "group"
	labelDataCentre = "data_centre"
)

func init() {
	kernel.HostLists.Register(Name, newHostList)
}

// listClient fetches the host list from one URL.
type listClient struct {
	url    string
	client *http.Client
}

func newHostList(address string, timeout time.Duration) (kernel.HostList, error) {
	parsed, err := url.Parse(address)
	if err != nil {
		return kernel.HostList{}, fmt.Errorf("the URL of the host list is not valid: %w", err)
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" || parsed.Host == "" {
		return kernel.HostList{}, fmt.Errorf("%q is not an http or https URL", address)
	}
	l := &listClient{url: address, client: &http.Client{Timeout: timeout}}
	return kernel.HostList{Fetch: l.fetch}, nil
}

// targetGroup is one entry of the list: addresses with common labels.
type targetGroup struct {
	Targets []string          `json:"targets"`
	Labels  map[string]string `json:"labels"`
}

func (l *listClient) fetch(ctx context.Context) ([]kernel.HostListEntry, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url, nil)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Accept", "application/json")
	response, err := l.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("fetch the host list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorText))
		return nil, fmt.Errorf("the host list returned status %s: %q", response.Status, text)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read the host list: %w", err)
	}
	if len(data) > maxListBytes {
		return nil, fmt.Errorf("the host list has more than %d bytes", maxListBytes)
	}
	return parseTargetGroups(data)
}

// parseTargetGroups parses the complete list. One invalid entry is an error, so that a
// partly written list is not applied.
func parseTargetGroups(data []byte) ([]kernel.HostListEntry, error) {
	var targets []targetGroup
	if err := json.Unmarshal(data, &targets); err != nil {
		return nil, fmt.Errorf("the host list is not valid: %w", err)
	}
	// The body "null" decodes without an error.
	if targets == nil {
		return nil, fmt.Errorf("the host list is not a JSON array")
	}
	listed := make([]kernel.HostListEntry, 0, len(targets))
	for i, entry := range targets {
		state := kernel.ListedState(entry.Labels[labelState])
		if state == "" {
			state = kernel.ListedLive
		}
		if state != kernel.ListedLive && state != kernel.ListedDraining {
			return nil, fmt.Errorf("entry %d of the host list has the unknown state %q", i, state)
		}
		for _, address := range entry.Targets {
			if _, err := netip.ParseAddrPort(address); err != nil {
				return nil, fmt.Errorf("entry %d of the host list: %q is not an IP address with a port", i, address)
			}
			listed = append(listed, kernel.HostListEntry{
				Group: api.GroupName(entry.Labels[labelGroup]), Address: api.Address(address),
				DataCentre: api.DataCentre(entry.Labels[labelDataCentre]), State: state,
			})
		}
	}
	return listed, nil
}
