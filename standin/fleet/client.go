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

// Inject asks the control endpoint at control to fail the stand-in at address.
func Inject(control, address string, fault injection.Fault) error {
	return command(control, Order{Address: address, Fault: fault})
}

// Clear asks the control endpoint at control to end all faults of the stand-in at address.
func Clear(control, address string) error {
	return command(control, Order{Address: address, Clear: true})
}

// MarkLeaving marks an upstream as leaving in the host list.
func MarkLeaving(control, address string) error {
	return post("http://"+control+"/host_list/leaving?address="+url.QueryEscape(address), nil)
}

func command(control string, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return err
	}
	return post("http://"+control+"/faults", body)
}

func post(target string, body []byte) error {
	response, err := http.Post(target, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(response.Body, 1024))
		return fmt.Errorf("the control endpoint answered %d: %s", response.StatusCode, text)
	}
	return nil
}
