package fleet

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"redwingloft/standin/injection"
)

// Inject injects a fault into the stand-in at address through the control endpoint at control.
func Inject(control, address string, fault injection.Fault) error {
	return sendFault(control, FaultRequest{Address: address, Fault: fault})
}

// Clear clears all faults of the stand-in at address through the control endpoint at control.
func Clear(control, address string) error {
	return sendFault(control, FaultRequest{Address: address, Clear: true})
}

// MarkDraining marks the upstream at address as draining in the host list.
func MarkDraining(control, address string) error {
	return post("http://"+control+"/host_list/leaving?address="+url.QueryEscape(address), nil)
}

func sendFault(control string, request FaultRequest) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	return post("http://"+control+"/faults", body)
}

func post(url string, body []byte) error {
	response, err := http.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return fmt.Errorf("control endpoint returned status %d: %s", response.StatusCode, text)
	}
	return nil
}
