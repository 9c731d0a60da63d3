package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"redwingloft/internal/service/directory"
	"redwingloft/pkg/api"
	"redwingloft/platform"
)

// Directory answers which hosts callers should use, and whether this one is ready.
type Directory struct {
	View func() *directory.View
	// Self is the address of this host for callers.
	Self api.Address
	// Validity is how long callers may keep the addresses.
	Validity time.Duration
	// Ready returns nil where the host takes requests.
	Ready func() error
}

// maxAddresses bounds an answer; callers use no more.
const maxAddresses = 64

// Addresses serves the address list.
func (d *Directory) Addresses(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathAddresses {
		http.NotFound(w, r)
		return
	}
	query := platform.DecodeAddressQuery(r)
	list := ListFor(d.View(), query.DataCentre, d.Self, d.Ready() == nil)
	if len(list) == 0 {
		http.Error(w, "no host is known to be ready", http.StatusServiceUnavailable)
		return
	}
	// The caller may have left; there is nobody to tell.
	_ = platform.WriteAddresses(w, list, d.Validity)
}

// ListFor returns the hosts for callers of a data centre: those that are registered
// and not draining, the ones of the data centre first where the list is cut.
func ListFor(view *directory.View, centre api.DataCentre, self api.Address, selfReady bool) []api.Address {
	var near, far []api.Address
	listed := false
	for _, host := range view.Hosts {
		if host.Draining || (host.Caller == self && !selfReady) {
			continue
		}
		listed = listed || host.Caller == self
		if host.DataCentre == centre {
			near = append(near, host.Caller)
		} else {
			far = append(far, host.Caller)
		}
	}
	if selfReady && !listed {
		near = append(near, self)
	}
	list := append(near, far...)
	return list[:min(len(list), maxAddresses)]
}

// Readiness serves the platform's checks.
func (d *Directory) Readiness(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != platform.PathReady {
		http.NotFound(w, r)
		return
	}
	if err := d.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// writeJSON writes a whole answer. The other side may have left; there is nobody to tell.
func writeJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, "encode the answer", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
