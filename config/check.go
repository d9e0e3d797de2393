package config

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"rhubarbpoint/internal/strict"
)

const (
	// defaultDeadline is the default of Network.DefaultDeadline.
	defaultDeadline = 60 * time.Second
	// maxNamesInFault bounds how many names a fault lists.
	maxNamesInFault = 10
)

// checker collects faults of rules that concern more than one field.
type checker struct {
	faults []strict.Fault
	// refused holds paths that decoding has refused, whose empty values are no further faults.
	refused map[string]bool
	faulty  map[string]bool // by list, see hasFaults
}

func check(d *Document, decoding []strict.Fault) []strict.Fault {
	c := &checker{refused: make(map[string]bool), faulty: make(map[string]bool)}
	for _, f := range decoding {
		c.refused[f.Path] = true
	}
	zones := c.network(&d.Network)
	models := c.models(&d.Models)
	c.upstreams(d, zones, models)
	c.services(&d.Orders)
	c.callers(&d.Callers)
	return c.faults
}

func (c *checker) fault(path string, value any, allowed string) {
	if !c.refused[path] {
		c.faults = append(c.faults, strict.Fault{Path: path, Value: strict.Quote(value), Allowed: allowed})
	}
}

// unique reports a name that occurred before. An empty name was refused by decoding.
func (c *checker) unique(first map[string]string, name, path string) {
	if name == "" {
		return
	}
	if before, taken := first[name]; taken {
		c.fault(path, name, "a value other than that of "+before)
		return
	}
	first[name] = path
}

// known reports a name that is not among those allowed. If the list of names has faults itself, it reports nothing.
func (c *checker) known(names []string, listPath, name, path string) {
	if name == "" || c.hasFaults(listPath) {
		return
	}
	for _, allowed := range names {
		if allowed == name {
			return
		}
	}
	c.fault(path, name, oneOf(names, listPath))
}

// hasFaults says whether decoding refused a list, a part of it or what it is part of.
func (c *checker) hasFaults(list string) bool {
	known, cached := c.faulty[list]
	if cached {
		return known
	}
	for path := range c.refused {
		if strings.HasPrefix(path, list) || strings.HasPrefix(list+".", path+".") {
			c.faulty[list] = true
			return true
		}
	}
	c.faulty[list] = false
	return false
}

func oneOf(names []string, listPath string) string {
	if len(names) == 0 {
		return "a name listed in " + listPath + ", which lists none"
	}
	text := strings.Join(names[:min(len(names), maxNamesInFault)], ", ")
	if len(names) > maxNamesInFault {
		text += fmt.Sprintf(" and %d more", len(names)-maxNamesInFault)
	}
	return "a name listed in " + listPath + ": " + text
}

// canonical makes two notations of one address equal.
func canonical(address string) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()).String()
}

// zoneNames holds the regions of the network section with their zones.
type zoneNames struct {
	regions []string
	zones   map[string][]string
	paths   map[string]string // of each region's list of zones
}

func (c *checker) network(n *Network) zoneNames {
	all := zoneNames{zones: make(map[string][]string), paths: make(map[string]string)}
	names := make(map[string]string)
	for i, r := range n.Regions {
		path := fmt.Sprintf("network.regions[%d]", i)
		c.unique(names, r.Name, path+".name")
		zones := make(map[string]string)
		for j, zone := range r.Zones {
			c.unique(zones, zone, fmt.Sprintf("%s.zones[%d]", path, j))
		}
		all.regions = append(all.regions, r.Name)
		all.zones[r.Name], all.paths[r.Name] = r.Zones, path+".zones"
	}
	pairs := make(map[string]string)
	for i, l := range n.Links {
		path := fmt.Sprintf("network.links[%d]", i)
		c.known(all.regions, "network.regions", l.From, path+".from")
		c.known(all.regions, "network.regions", l.To, path+".to")
		if l.From == l.To {
			c.fault(path+".to", l.To, "a region other than that of from")
		}
		if l.From != "" && l.To != "" {
			c.unique(pairs, min(l.From, l.To)+" to "+max(l.From, l.To), path)
		}
	}
	if limit := n.MaxRequestDeadline; limit > 0 && n.DefaultDeadline > limit {
		c.fault("network.default_deadline", n.DefaultDeadline, "at most max_request_deadline, "+limit.String())
	}
	return all
}

func (c *checker) models(m *Models) []string {
	var all []string
	names := make(map[string]string)
	for i, model := range m.Models {
		path := fmt.Sprintf("models.models[%d]", i)
		c.unique(names, model.Name, path+".name")
		if model.PreviousVersion != "" && model.PreviousVersion == model.Version {
			c.fault(path+".previous_version", model.PreviousVersion, "a version other than version")
		}
		adapters := make(map[string]string)
		for j, adapter := range model.Adapters {
			c.unique(adapters, adapter, fmt.Sprintf("%s.adapters[%d]", path, j))
		}
		all = append(all, model.Name)
	}
	return all
}

func (c *checker) upstreams(d *Document, zones zoneNames, models []string) {
	ids, addresses := make(map[string]string), make(map[string]string)
	place := func(path, id, address, region, zone string) {
		c.unique(ids, id, path+".id")
		c.unique(addresses, canonical(address), path+".address")
		c.known(zones.regions, "network.regions", region, path+".region")
		if list, known := zones.zones[region]; known {
			c.known(list, zones.paths[region], zone, path+".zone")
		}
	}
	for i, s := range d.Orders.Services {
		for j, u := range s.Upstreams {
			place(fmt.Sprintf("orders.services[%d].upstreams[%d]", i, j), u.ID, u.Address, u.Region, u.Zone)
		}
	}
	for i, e := range d.Models.Engines {
		path := fmt.Sprintf("models.engines[%d]", i)
		place(path, e.ID, e.Address, e.Region, e.Zone)
		named := make(map[string]string)
		for j, name := range e.Models {
			c.known(models, "models.models", name, fmt.Sprintf("%s.models[%d]", path, j))
			c.unique(named, name, fmt.Sprintf("%s.models[%d]", path, j))
		}
	}
}

func (c *checker) services(o *Orders) {
	names := make(map[string]string)
	for i, s := range o.Services {
		path := fmt.Sprintf("orders.services[%d]", i)
		c.unique(names, s.Name, path+".name")
		routes := make(map[string]string)
		for j, r := range s.Routes {
			if r.Method != "" && r.Path != "" {
				c.unique(routes, r.Method+" "+r.Path, fmt.Sprintf("%s.routes[%d]", path, j))
			}
		}
	}
}

func (c *checker) callers(all *Callers) {
	names, keys := make(map[string]string), make(map[string]string)
	for i, w := range all.Workspaces {
		path := fmt.Sprintf("callers.workspaces[%d]", i)
		c.unique(names, w.Name, path+".name")
		c.unique(keys, w.KeySHA256, path+".key_sha256")
	}
}
