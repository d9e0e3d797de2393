package daemon

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/entry"
	"rhubarbpoint/settings"
)

// listeners are the listeners of an instance.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
	metrics  net.Listener // nil when the operator listener alone serves metrics
}

func openListeners(ctx context.Context, s *settings.Settings) (*listeners, error) {
	var l listeners
	var err error
	if l.caller, err = entry.Listen(ctx, s.CallerListen); err != nil {
		return nil, err
	}
	if l.peer, err = net.Listen("tcp", s.PeerListen); err != nil {
		l.caller.Close()
		return nil, errors.Wrap(err, "daemon: peer listener")
	}
	if l.operator, err = net.Listen("tcp", s.OperatorListen); err != nil {
		l.caller.Close()
		l.peer.Close()
		return nil, errors.Wrap(err, "daemon: operator listener")
	}
	if s.MetricsListen != "" {
		if l.metrics, err = net.Listen("tcp", s.MetricsListen); err != nil {
			l.caller.Close()
			l.peer.Close()
			l.operator.Close()
			return nil, errors.Wrap(err, "daemon: metrics listener")
		}
	}
	return &l, nil
}
