package simfleet

import (
	"embed"
	"path"

	"github.com/cockroachdb/errors"
)

//go:embed deployments/*.json
var files embed.FS

// Deployments returns those that belong to the product, by name.
func Deployments() ([]*Deployment, error) {
	entries, err := files.ReadDir("deployments")
	if err != nil {
		return nil, errors.Wrap(err, "simfleet: deployments")
	}
	var list []*Deployment
	for _, e := range entries {
		data, err := files.ReadFile(path.Join("deployments", e.Name()))
		if err != nil {
			return nil, errors.Wrap(err, "simfleet: deployments")
		}
		d, err := Read(data)
		if err != nil {
			return nil, errors.Wrap(err, e.Name())
		}
		list = append(list, d)
	}
	return list, nil
}
