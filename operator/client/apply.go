package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"rhubarbpoint/operator"
)

const (
	applyRetryInterval  = 500 * time.Millisecond
	rolloutPollInterval = 250 * time.Millisecond
)

// ErrNotInForce means that some member did not have the version in force in time.
var ErrNotInForce = errors.New("operator: version not in force on every instance in time")

// Edit is an edit of a section. ID and Since are empty unless it repeats an edit whose outcome was unknown.
type Edit struct {
	Section string
	Base    int64
	Content []byte
	ID      string
	Since   int64
}

// Apply sends an edit to the instance until its outcome is known: Accepted, or an *operator.Error. If the context ends
// first, the error has CodeOutcomeUnknown and the ID of the edit.
func (c *Client) Apply(ctx context.Context, e Edit) (*operator.Accepted, error) {
	if e.ID == "" {
		e.ID, e.Since = uuid.NewString(), e.Base
		if now, err := c.Config(ctx, false); err == nil {
			e.Since = max(e.Base, now.Version)
		}
	}
	query := url.Values{
		"base": {strconv.FormatInt(e.Base, 10)}, "edit": {e.ID}, "since": {strconv.FormatInt(e.Since, 10)},
	}
	for {
		var accepted operator.Accepted
		err := c.call(ctx, http.MethodPut, "/v1/config/sections/"+url.PathEscape(e.Section), query, e.Content, &accepted)
		if err == nil || !retryable(err) {
			return &accepted, err
		}
		select {
		case <-ctx.Done():
			return nil, &operator.Error{Code: operator.CodeOutcomeUnknown, Edit: e.ID, Since: e.Since, Message: fmt.Sprintf(
				"outcome of edit %s unknown: %v; apply the same file with -edit %s -since %d to learn it", e.ID, err, e.ID, e.Since)}
		case <-time.After(applyRetryInterval):
		}
	}
}

// retryable reports whether an edit that failed with this error is sent again to get its outcome.
func retryable(err error) bool {
	var reported *operator.Error
	if !errors.As(err, &reported) {
		return true
	}
	return reported.Code == operator.CodeOutcomeUnknown || reported.Code == operator.CodeUnavailable
}

// Wait returns when a version is in force on every member, or with ErrNotInForce when the context ends first. It
// returns the last rollout that the instance reported, which may be nil.
func (c *Client) Wait(ctx context.Context, version int64) (*operator.Rollout, error) {
	var last *operator.Rollout
	for {
		rollout, err := c.Rollout(ctx, version)
		if err == nil {
			last = rollout
		}
		if err == nil && rollout.InForce {
			return rollout, nil
		}
		select {
		case <-ctx.Done():
			return last, ErrNotInForce
		case <-time.After(rolloutPollInterval):
		}
	}
}
