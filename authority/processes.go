package authority

import (
	"context"

	"rhubarbpoint/topo"
)

// Processes tells from the platform's instance list which processes there are. The list lags, but it drops a process
// only after it has ended. Implementations are safe for concurrent use.
type Processes interface {
	// Active returns the IDs of the processes that the list shows and that are not leaving.
	Active(ctx context.Context) (map[string]bool, error)
	// Ended says that a process that was once in the list has certainly ended.
	Ended(ctx context.Context, process string) (bool, error)
}

// ListedProcesses implements Processes for an instance list whose IDs are the IDs of processes.
type ListedProcesses struct{ Directory topo.Directory }

// Active implements Processes.
func (l ListedProcesses) Active(ctx context.Context) (map[string]bool, error) {
	rows, err := l.Directory.Instances(ctx)
	if err != nil {
		return nil, err
	}
	staying := make(map[string]bool)
	for _, row := range rows {
		staying[row.ID] = row.Kind == topo.KindEntry && !row.Leaving
	}
	return staying, nil
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
