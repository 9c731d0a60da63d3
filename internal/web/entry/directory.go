package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/service/directory"
	"redwingloft/internal/web/guard"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

// DirectoryHandler serves the address list for callers and the readiness of this host.
type DirectoryHandler struct {
	View func() *directory.View
	// Self is the address of this host for callers.
	Self api.Address
	// AddressValidity is how long callers may cache the addresses.
	AddressValidity time.Duration
	// Ready returns nil if the host accepts requests.
	Ready func() error
	// Accepts reports whether the host accepts requests, which it still does when it begins to drain; nil
	// means that it never does without being ready.
	Accepts func() bool
}

// maxAddresses limits the address list; callers use no more.
const maxAddresses = 64

// Addresses serves the address list.
func (d *DirectoryHandler) Addresses(w http.ResponseWriter, r *http.Request) {
	guard.CloseUnread(w, r)
	if r.URL.Path != platform.PathAddresses {
		http.NotFound(w, r)
		return
	}
	query := platform.DecodeAddressQuery(r)
	list := AddressesFor(d.View(), query.DataCentre, d.Self, d.Ready() == nil)
	if len(list) == 0 && d.Accepts != nil && d.Accepts() {
		// While all hosts drain, callers would find none.
		list = []api.Address{d.Self}
	}
	if len(list) == 0 {
		http.Error(w, "no host is ready", http.StatusServiceUnavailable)
		return
	}
	// A write error means that the caller has disconnected.
	_ = platform.WriteAddresses(w, list, d.AddressValidity)
}

// AddressesFor returns the addresses for callers of a data centre: the registered hosts that
// are not draining, those of the data centre first, as the list may be truncated.
func AddressesFor(view *directory.View, centre api.DataCentre, self api.Address, selfReady bool) []api.Address {
	var local, remote []api.Address
	listed := false
	for _, host := range view.Hosts {
		if host.Draining || (host.CallerAddress == self && !selfReady) {
			continue
		}
		listed = listed || host.CallerAddress == self
		if host.DataCentre == centre {
			local = append(local, host.CallerAddress)
		} else {
			remote = append(remote, host.CallerAddress)
		}
	}
	if selfReady && !listed {
		local = append(local, self)
	}
	addresses := append(local, remote...)
	return addresses[:min(len(addresses), maxAddresses)]
}

// Readiness serves the platform's readiness checks.
func (d *DirectoryHandler) Readiness(w http.ResponseWriter, r *http.Request) {
	guard.CloseUnread(w, r)
	if r.URL.Path != platform.PathReadiness {
		http.NotFound(w, r)
		return
	}
	if err := d.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeJSON writes a JSON response. Write errors are ignored, as the client has disconnected.
func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "the response can't be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
