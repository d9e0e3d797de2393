package daemon

import (
	"context"
	"net"

	"github.com/cockroachdb/errors"

	"rhubarbpoint/entry"
	"rhubarbpoint/settings"
)

// listeners are the three listeners of an instance.
type listeners struct {
	caller   net.Listener
	peer     net.Listener
	operator net.Listener
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
	return &l, nil
}
