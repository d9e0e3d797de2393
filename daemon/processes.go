package daemon

import (
	"context"
	"strings"

	"rhubarbpoint/member"
	"rhubarbpoint/peer/peerpb"
	"rhubarbpoint/topo"
)

// processes maps rows of the instance list, which name instances, to process IDs, which consist of the instance's name
// and a random suffix. It implements authority.Processes. It is safe for concurrent use.
type processes struct {
	directory topo.Directory
	view      member.View
}

// Active returns the live processes whose instances are listed and not leaving.
func (p *processes) Active(ctx context.Context) (map[string]bool, error) {
	rows, err := p.directory.Instances(ctx)
	if err != nil {
		return nil, err
	}
	active := make(map[string]bool)
	for _, row := range rows {
		if row.Kind != topo.KindEntry || row.Leaving {
			continue
		}
		for _, m := range p.view.Live() {
			if m.GetPeerAddress() == row.Address {
				active[m.GetId()] = true
			}
		}
	}
	return active, nil
}

// Ended reports whether a process has certainly ended: its instance is no longer listed, or another process of the
// instance has taken over its peer address, which the former must have released.
func (p *processes) Ended(ctx context.Context, process string) (bool, error) {
	rows, err := p.directory.Instances(ctx)
	if err != nil {
		return false, err
	}
	for _, row := range rows {
		if row.Kind != topo.KindEntry || !belongs(process, row.ID) {
			continue
		}
		return p.replaced(process, row), nil
	}
	return true, nil
}

func (p *processes) replaced(process string, row topo.Instance) bool {
	for _, m := range p.view.Live() {
		if m.GetPeerAddress() == row.Address && m.GetId() != process && belongs(m.GetId(), row.ID) {
			return true
		}
	}
	return false
}

// missing returns the listed instances that are not leaving and of which no process is a live member.
func (p *processes) missing(rows []topo.Instance, live []*peerpb.Member) []topo.Instance {
	addresses := make(map[string]bool)
	for _, m := range live {
		addresses[m.GetPeerAddress()] = true
	}
	var missing []topo.Instance
	for _, row := range rows {
		if row.Kind == topo.KindEntry && !row.Leaving && !addresses[row.Address] {
			missing = append(missing, row)
		}
	}
	return missing
}

// belongs reports whether a process ID belongs to the named instance.
func belongs(process, instance string) bool {
	suffix, found := strings.CutPrefix(process, instance+"-")
	return process == instance || found && !strings.Contains(suffix, "-")
}
