package simfleet

import (
	"embed"
	"path"

	"github.com/cockroachdb/errors"
)

//go:embed deployments/*.json
var deploymentFiles embed.FS

// Deployments returns the embedded deployments, in order of their file names.
func Deployments() ([]*Deployment, error) {
	entries, err := deploymentFiles.ReadDir("deployments")
	if err != nil {
		return nil, errors.Wrap(err, "simfleet: list the embedded deployments")
	}
	var list []*Deployment
	for _, e := range entries {
		data, err := deploymentFiles.ReadFile(path.Join("deployments", e.Name()))
		if err != nil {
			return nil, errors.Wrapf(err, "simfleet: read the embedded deployment %s", e.Name())
		}
		d, err := Read(data)
		if err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
		list = append(list, d)
	}
	return list, nil
}
