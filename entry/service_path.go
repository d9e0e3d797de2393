package entry

import (
	"net/http"
	"path"
	"slices"
	"strings"

	"rhubarbpoint/config"
)

const servicePrefix = "/services/"

// findService returns the service and the kind of call that a request names, and the path below the service.
func findService(doc *config.Document, r *http.Request) (*config.Service, *config.Route, string, *Error) {
	name, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, servicePrefix), "/")
	below := strings.TrimPrefix(r.URL.Path, servicePrefix+name)
	i := slices.IndexFunc(doc.Orders.Services, func(s config.Service) bool { return s.Name == name })
	if i < 0 {
		return nil, nil, "", notRun(http.StatusNotFound, codeUnknownService, "no such service")
	}
	service := &doc.Orders.Services[i]
	// A path with ".." or "//" could be read by the replica as another route than the one that was checked here.
	clean := path.Clean("/" + below)
	if below != clean && below != clean+"/" {
		return nil, nil, "", notRun(http.StatusBadRequest, codeBadRequest, "the path is not in its shortest form")
	}
	for i := range service.Routes {
		route := &service.Routes[i]
		if route.Method == r.Method && matches(route.Path, below) {
			return service, route, strings.TrimPrefix(r.URL.EscapedPath(), servicePrefix+name), nil
		}
	}
	return nil, nil, "", notRun(http.StatusNotFound, codeUnknownRoute, "the service has no such call")
}

func matches(pattern, below string) bool {
	return pattern == below || (strings.HasSuffix(pattern, "/") && strings.HasPrefix(below, pattern))
}
