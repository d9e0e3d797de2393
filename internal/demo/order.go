package demo

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

	"rhubarbpoint/internal/fleet"
)

// Order is one call to the order service. It is a booking if it has a key, else a stock check.
type Order struct {
	Key string
}

// notRun is what an error says of an order that was not run and never will be under its key.
const notRun = "not_run"

// Send makes the call through a caller listener and returns the status and, for an error, whether the order was run.
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
