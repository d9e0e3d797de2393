package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	standin "rhubarbpoint/internal/standin/engine"
)

// Guards against bad input that is accepted, that gets an error without a stable code, or that is said to have run.
func TestBadInput(t *testing.T) {
	chat := func(body string) [3]string { return [3]string{"POST", "/v1/chat/completions", body} }
	message := `"messages":[{"role":"user","content":"hi"}]`
	many := []string{}
	for i := range 120 {
		many = append(many, fmt.Sprint("X-", i), "1")
	}
	cases := map[string]struct {
		request [3]string
		headers []string
		status  int
		code    string
	}{
		"no JSON":             {chat(`{"model":`), nil, 400, "bad_request"},
		"an array":            {chat(`[]`), nil, 400, "bad_request"},
		"null":                {chat(`null`), nil, 400, "bad_request"},
		"trailing data":       {chat(`{} {}`), nil, 400, "bad_request"},
		"wrong type":          {chat(`{"model":1,` + message + `}`), nil, 400, "bad_request"},
		"no model":            {chat(`{` + message + `}`), nil, 400, "bad_request"},
		"no messages":         {chat(`{"model":"small","messages":[]}`), nil, 400, "bad_request"},
		"wrong role":          {chat(`{"model":"small","messages":[{"role":"king","content":"hi"}]}`), nil, 400, "bad_request"},
		"image part":          {chat(`{"model":"small","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`), nil, 400, "bad_request"},
		"no tokens":           {chat(`{"model":"small","max_tokens":0,` + message + `}`), nil, 400, "bad_request"},
		"two choices":         {chat(`{"model":"small","n":2,` + message + `}`), nil, 400, "unsupported"},
		"tools":               {chat(`{"model":"small","tools":[{}],` + message + `}`), nil, 400, "unsupported"},
		"unknown model":       {chat(`{"model":"big",` + message + `}`), nil, 404, "unknown_model"},
		"context":             {chat(`{"model":"small","max_tokens":200000,` + message + `}`), nil, 400, "context_too_long"},
		"large body":          {chat(strings.Repeat("x", 9<<20)), nil, 413, "body_too_large"},
		"many headers":        {chat(`{}`), many, 431, "too_many_headers"},
		"wrong key":           {chat(`{}`), []string{"Authorization", "Bearer wrong"}, 401, "unauthorized"},
		"wrong key, body":     {chat(strings.Repeat("x", 1<<20)), []string{"Authorization", "Bearer wrong"}, 401, "unauthorized"},
		"bad deadline":        {chat(`{}`), []string{"Request-Deadline", "soon"}, 400, "bad_deadline"},
		"long deadline":       {chat(`{}`), []string{"Request-Deadline", "999999999"}, 400, "bad_deadline"},
		"expired deadline":    {chat(`{}`), []string{"Request-Deadline", "0"}, 504, "deadline_exceeded"},
		"past deadline":       {chat(`{}`), []string{"Request-Deadline", "1999-01-01T00:00:00Z"}, 504, "deadline_exceeded"},
		"method":              {[3]string{"GET", "/v1/chat/completions", ""}, nil, 405, "method_not_allowed"},
		"path":                {[3]string{"GET", "/v2", ""}, nil, 404, "not_found"},
		"service":             {[3]string{"GET", "/services/none/stock/1", ""}, nil, 404, "unknown_service"},
		"route":               {[3]string{"DELETE", "/services/shop/stock/1", ""}, nil, 404, "unknown_route"},
		"path trick":          {[3]string{"GET", "/services/shop/stock/%2e%2e/bookings", ""}, nil, 400, "bad_request"},
		"no key":              {[3]string{"POST", "/services/shop/bookings", "{}"}, nil, 400, "idempotency_key_missing"},
		"no UUIDv7":           {[3]string{"POST", "/services/shop/bookings", "{}"}, []string{"Idempotency-Key", "d3b07384-d9a0-4c9b-8f3e-2f1a5c6b7d8e"}, 400, "idempotency_key_invalid"},
		"orders switched off": {[3]string{"POST", "/services/shop/bookings", "{}"}, []string{"Idempotency-Key", idempotencyKey}, 503, "orders_unavailable"},
	}
	inFleet(t, 1, nil, func(f *fleet) {
		for name, c := range cases {
			r := f.do(c.request[0], c.request[1], strings.NewReader(c.request[2]), c.headers...)
			f.Expect([]any{r.status, r.code, r.run}).To(gomega.Equal([]any{c.status, c.code, "not_run"}), name)
		}
		f.Expect(f.net.Dials("10.1.0.1:80")).To(gomega.BeZero(), "nothing was sent to an engine")
	})
}

// Guards against callers that hold a connection by sending slowly, and against unlimited headers.
func TestSlowAndLargeSenders(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		send := func(head, piece string, pieces int) (string, time.Duration) {
			conn, err := f.net.Dial(f.context(), "tcp", entryAddr)
			f.Expect(err).NotTo(gomega.HaveOccurred())
			defer conn.Close()
			go func() {
				io.WriteString(conn, head)
				for range pieces {
					time.Sleep(time.Second)
					if _, err := io.WriteString(conn, piece); err != nil {
						return
					}
				}
			}()
			started := time.Now()
			response, _ := io.ReadAll(bufio.NewReader(conn))
			return string(response), time.Since(started)
		}
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: e\r\nAuthorization: Bearer secret\r\n"
		response, took := send(head+"Content-Length: 500\r\n\r\n", "x", 100)
		f.Expect(response).To(gomega.And(gomega.HavePrefix("HTTP/1.1 408"), gomega.ContainSubstring("body_timeout")))
		f.Expect(took).To(gomega.BeNumerically("<", 20*time.Second))
		_, took = send(head, "X: y\r\n", 100)
		f.Expect(took).To(gomega.BeNumerically("<", 10*time.Second))
		response, _ = send(head+"X: "+strings.Repeat("y", 64<<10)+"\r\n\r\n", "", 0)
		f.Expect(response).To(gomega.HavePrefix("HTTP/1.1 431"))
	})
}

// Guards against the loss of a listed model, a default value or an engine parameter.
func TestModelsAndParameters(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		r := f.do("GET", "/v1/models", nil)
		f.Expect(r.text).To(gomega.ContainSubstring(`{"id":"small","object":"model"`))
		f.engine("e1").SetFaults(standin.Faults{})
		r = f.do("POST", "/v1/chat/completions", strings.NewReader(
			`{"model":"small","temperature":0.5,"tools":null,"messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]}`))
		f.Expect(r.status).To(gomega.Equal(http.StatusOK))
		f.Expect(r.text).To(gomega.Equal(expectedCompletion("hi", 1024)))
	})
}
