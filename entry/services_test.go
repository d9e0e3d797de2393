package entry_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/gomega"

	"rhubarbpoint/admit"
	"rhubarbpoint/claim"
	"rhubarbpoint/internal/standin/orders"
)

const idempotencyKey = "01890a5d-ac96-774b-bcce-b302099a8057"

// fakeRunner claims every key at once, like a store that is available.
type fakeRunner struct {
	fingerprints []claim.Fingerprint
}

func (r *fakeRunner) Run(ctx context.Context, _ string, f claim.Fingerprint, send claim.SendFunc) (*claim.Response, error) {
	r.fingerprints = append(r.fingerprints, f)
	response, err := send(ctx)
	switch {
	case errors.Is(err, claim.ErrNotSent):
		return nil, &claim.Error{Code: "not_sent", Message: err.Error(), Run: claim.NotRun}
	case err != nil:
		return nil, &claim.Error{Code: "unknown", Message: err.Error(), Run: claim.RunUnknown}
	}
	return response, nil
}

// rejectingAdmitter admits no request.
type rejectingAdmitter struct{}

func (rejectingAdmitter) Admit(time.Time, *admit.Request) (func(time.Time), error) {
	return nil, admit.ErrOverShare
}

func withRunner(f *fleet) { f.opts.Orders = &fakeRunner{} }

func (f *fleet) placeOrder() *reply {
	return f.do("POST", "/services/shop/bookings", strings.NewReader("{}"), "Idempotency-Key", idempotencyKey)
}

func executions(all []*orders.Service) int {
	sum := 0
	for _, s := range all {
		sum += s.Executions()[idempotencyKey]
	}
	return sum
}

// Guards against an idempotent request that fails because its replica does, and against one that is retried without
// end.
func TestIdempotentCallsAreRetriedOnAnotherReplica(t *testing.T) {
	inFleet(t, 1, nil, func(f *fleet) {
		all := f.startOrderReplicas()
		for _, broken := range all {
			broken.SetFaults(orders.Faults{BreakBefore: 1})
			r := f.do("GET", "/services/shop/stock/17?detail=1", nil)
			f.Expect(r.status).To(gomega.Equal(http.StatusOK))
			f.Expect(r.text).To(gomega.ContainSubstring(`"item":"17"`))
			broken.SetFaults(orders.Faults{})
		}
		f.net.Kill("10.2.0.1:80")
		f.Expect(f.do("GET", "/services/shop/stock/17", nil).status).To(gomega.Equal(http.StatusOK))
		f.net.Kill("10.2.0.2:80")
		r := f.do("GET", "/services/shop/stock/17", nil)
		f.Expect([]any{r.status, r.code, r.run}).To(gomega.Equal([]any{502, "upstream_failed", "not_run"}))
	})
}

// Guards against a non-idempotent request that runs twice, that is said not to have run although it may have, or that
// reuses a connection, on which net/http would repeat it.
func TestOrdersAreSentOnce(t *testing.T) {
	inFleet(t, 1, withRunner, func(f *fleet) {
		all := f.startOrderReplicas()
		f.Expect(f.placeOrder().status).To(gomega.Equal(http.StatusCreated))
		f.Expect(f.placeOrder().status).To(gomega.Equal(http.StatusCreated))
		dials := f.net.Dials("10.2.0.1:80") + f.net.Dials("10.2.0.2:80")
		f.Expect(dials).To(gomega.Equal(2), "each order has its own connection")
		for _, faults := range []orders.Faults{{BreakBefore: 1}, {BreakAfter: 1}} {
			before := executions(all)
			for _, s := range all {
				s.SetFaults(faults)
			}
			r := f.placeOrder()
			f.Expect([]any{r.status, r.run}).To(gomega.Equal([]any{502, "unknown"}))
			f.Expect(executions(all) - before).To(gomega.Equal(faults.BreakAfter))
		}
		f.Expect(f.opts.Orders.(*fakeRunner).fingerprints).To(gomega.HaveEach(f.opts.Orders.(*fakeRunner).fingerprints[0]))
	})
}

// Guards against a non-idempotent request that fails because one replica is unreachable, and against one whose outcome
// is reported as unknown although no replica received it.
func TestOrdersSkipReplicasWithoutConnection(t *testing.T) {
	inFleet(t, 1, withRunner, func(f *fleet) {
		f.startOrderReplicas()
		f.net.Kill("10.2.0.1:80")
		for range 4 {
			f.Expect(f.placeOrder().status).To(gomega.Equal(http.StatusCreated))
		}
		f.net.Kill("10.2.0.2:80")
		r := f.placeOrder()
		f.Expect([]any{r.status, r.code, r.run}).To(gomega.Equal([]any{503, "not_sent", "not_run"}))
	})
}

// Guards against a request that is refused after its claim and not reported as not_run.
func TestRefusedOrdersAreNotRun(t *testing.T) {
	inFleet(t, 1, func(f *fleet) { withRunner(f); f.opts.Admitter = rejectingAdmitter{} }, func(f *fleet) {
		all := f.startOrderReplicas()
		r := f.placeOrder()
		f.Expect([]any{r.status, r.code, r.run}).To(gomega.Equal([]any{429, "over_share", "not_run"}))
		f.Expect(executions(all)).To(gomega.BeZero())
		r = f.chat(false, "hi", 1)
		f.Expect([]any{r.status, r.code, r.run}).To(gomega.Equal([]any{429, "over_share", "not_run"}))
	})
}

// Guards against a redirect that is followed, a truncated response that is passed on, and a caller's key that is sent
// to the replica.
func TestServiceResponses(t *testing.T) {
	inFleet(t, 1, withRunner, func(f *fleet) {
		mux := http.NewServeMux()
		mux.HandleFunc("POST /bookings", func(w http.ResponseWriter, r *http.Request) {
			f.Expect(r.Header).NotTo(gomega.HaveKey("Authorization"))
			f.Expect(r.Header.Get("Caller-Workspace")).To(gomega.Equal("shop"))
			http.Redirect(w, r, "/elsewhere", http.StatusTemporaryRedirect)
		})
		mux.HandleFunc("GET /stock/short", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "100")
			w.Write([]byte("short"))
		})
		mux.HandleFunc("GET /stock/endless", func(w http.ResponseWriter, _ *http.Request) {
			conn, _, _ := http.NewResponseController(w).Hijack()
			conn.Write([]byte("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nperhaps all"))
			conn.Close()
		})
		for _, u := range f.doc.Orders.Services[0].Upstreams {
			go (&http.Server{Handler: mux}).Serve(f.net.Listen(u.Address))
		}
		f.client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		f.Expect(f.placeOrder().status).To(gomega.Equal(http.StatusTemporaryRedirect))
		for _, path := range []string{"/services/shop/stock/short", "/services/shop/stock/endless"} {
			r := f.do("GET", path, nil)
			f.Expect([]any{r.status, r.code, r.run}).To(gomega.Equal([]any{502, "upstream_failed", "unknown"}))
		}
	})
}

// delayedRunner claims a key only after wait has returned, like a store that was unavailable.
type delayedRunner struct {
	fakeRunner
	wait func()
}

func (r *delayedRunner) Run(ctx context.Context, key string, f claim.Fingerprint, send claim.SendFunc) (*claim.Response, error) {
	r.wait()
	return r.fakeRunner.Run(ctx, key, f, send)
}

// Guards against a non-idempotent request that goes to a replica which started to leave while the request waited for
// its claim.
func TestOrdersAvoidReplicasThatStartLeaving(t *testing.T) {
	left := false
	inFleet(t, 1, func(f *fleet) {
		f.opts.Leaving = func(id string) bool { return left && id == f.doc.Orders.Services[0].Upstreams[0].ID }
		f.opts.Orders = &delayedRunner{wait: func() { left = true }}
	}, func(f *fleet) {
		all := f.startOrderReplicas()
		for range 20 {
			left = false
			f.Expect(f.placeOrder().status).To(gomega.Equal(http.StatusCreated))
		}
		f.Expect(all[0].Executions()[idempotencyKey]).To(gomega.BeZero())
	})
}
