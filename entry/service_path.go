package entry

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"rhubarbpoint/config"
)

const servicePrefix = "/services/"

// findService returns the service and the route that a request matches, and the path below the service.
func findService(doc *config.Document, r *http.Request) (*config.Service, *config.Route, string, *Error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	subpath := strings.TrimPrefix(r.URL.Path, servicePrefix+name)
	i := slices.IndexFunc(doc.Orders.Services, func(s config.Service) bool { return s.Name == name })
	if i < 0 {
		return nil, nil, "", notRun(http.StatusNotFound, codeUnknownService, "no such service")
	}
	service := &doc.Orders.Services[i]
	// A path with ".." or "//" could be read by the replica as another route than the one that was checked here.
	clean := path.Clean("/" + subpath)
	if subpath != clean && subpath != clean+"/" {
		return nil, nil, "", notRun(http.StatusBadRequest, codeBadRequest, "the path is not in its shortest form")
	}
	for i := range service.Routes {
		route := &service.Routes[i]
		if route.Method == r.Method && matchesPath(route.Path, subpath) {
			return service, route, strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name), nil
		}
	}
	return nil, nil, "", notRun(http.StatusNotFound, codeUnknownRoute, "the service has no such call")
}

func matchesPath(pattern, subpath string) bool {
	return pattern == subpath || (strings.HasSuffix(pattern, "/") && strings.HasPrefix(subpath, pattern))
}
