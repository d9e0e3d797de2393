package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"rhubarbpoint/internal/fleet"
)

// Order is one call to the order service: a booking if it has an idempotency key, else a stock check.
type Order struct {
	Key string
}

// notRun is the value in an error response that means that the order was not run and never will be under its key.
const notRun = "not_run"

// Send sends the call to a caller listener and returns the status and, for an error response, what it says about
// whether the order was run.
func (o Order) Send(ctx context.Context, client *http.Client, address string) (status int, run string, err error) {
	method, path := http.MethodGet, "/stock/timber"
	if o.Key != "" {
		method, path = http.MethodPost, "/bookings"
	}
	url := "http://" + address + "/services/" + fleet.ServiceName + path
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(""))
	if err != nil {
		return 0, "", err
	}
	if o.Key != "" {
		req.Header.Set("Idempotency-Key", o.Key)
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	if resp.StatusCode < http.StatusBadRequest {
		return resp.StatusCode, "", nil
	}
	var failure struct {
		Error struct {
			Run string `json:"run"`
		} `json:"error"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&failure); err != nil {
		return 0, "", err
	}
	return resp.StatusCode, failure.Error.Run, nil
}
