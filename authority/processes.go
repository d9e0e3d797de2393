package authority

import (
	"context"

	"rhubarbpoint/topo"
)

// Processes tells which processes exist, based on the platform's instance list. The list lags behind, but it drops a
// process only after the process has ended. Implementations are safe for concurrent use.
type Processes interface {
	// Active returns the IDs of the processes in the list that are not leaving.
	Active(ctx context.Context) (map[string]bool, error)
	// Ended reports whether a process that was once in the list has certainly ended.
	Ended(ctx context.Context, process string) (bool, error)
}

// ListedProcesses implements Processes for an instance list whose instance IDs are process IDs.
type ListedProcesses struct{ Directory topo.Directory }

// Active implements Processes.
func (l ListedProcesses) Active(ctx context.Context) (map[string]bool, error) {
	rows, err := l.Directory.Instances(ctx)
	if err != nil {
		return nil, err
	}
	active := make(map[string]bool)
	for _, row := range rows {
		active[row.ID] = row.Kind == topo.KindEntry && !row.Leaving
	}
	return active, nil
}

// Ended implements Processes.
func (l ListedProcesses) Ended(ctx context.Context, process string) (bool, error) {
	rows, err := l.Directory.Instances(ctx)
	if err != nil {
		return false, err
	}
	for _, row := range rows {
		if row.ID == process {
			return false, nil
		}
	}
	return true, nil
}
