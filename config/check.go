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

// checker collects the faults of a document against rules that concern more than one field.
type checker struct {
	faults []strict.Fault
	// rejectedPaths holds the paths of the values that decoding has refused. They were left empty, which is not reported
	// as a further fault.
	rejectedPaths map[string]bool
	listFaulty    map[string]bool // results of hasFaults by path of the list
}

// check returns the faults of a document against the rules that concern more than one field, given the faults that
// decoding has found.
func check(d *Document, decoding []strict.Fault) []strict.Fault {
	c := &checker{rejectedPaths: make(map[string]bool), listFaulty: make(map[string]bool)}
	for _, f := range decoding {
		c.rejectedPaths[f.Path] = true
	}
	zones := c.checkNetwork(&d.Network)
	models := c.checkModels(&d.Models)
	c.checkUpstreams(d, zones, models)
	c.checkServices(&d.Orders)
	c.checkCallers(&d.Callers)
	return c.faults
}

// addFault adds a fault, unless decoding has refused the value.
func (c *checker) addFault(path string, value any, allowed string) {
	if !c.rejectedPaths[path] {
		c.faults = append(c.faults, strict.Fault{Path: path, Value: strict.Quote(value), Allowed: allowed})
	}
}

// checkUnique adds a fault for a name that occurred before. first holds the path at which each name occurred first. An
// empty name is passed over, since decoding has refused it.
func (c *checker) checkUnique(first map[string]string, name, path string) {
	if name == "" {
		return
	}
	if before, taken := first[name]; taken {
		c.addFault(path, name, "a value other than that of "+before)
		return
	}
	first[name] = path
}

// checkReference adds a fault for a name that is not in a list of names, unless the list itself has faults.
func (c *checker) checkReference(names []string, listPath, name, path string) {
	if name == "" || c.hasFaults(listPath) {
		return
	}
	for _, allowed := range names {
		if allowed == name {
			return
		}
	}
	c.addFault(path, name, describeAllowed(names, listPath))
}

// hasFaults reports whether decoding has refused a list, a value in it or a value that contains it.
func (c *checker) hasFaults(list string) bool {
	faulty, cached := c.listFaulty[list]
	if cached {
		return faulty
	}
	for path := range c.rejectedPaths {
		if strings.HasPrefix(path, list) || strings.HasPrefix(list+".", path+".") {
			c.listFaulty[list] = true
			return true
		}
	}
	c.listFaulty[list] = false
	return false
}

// describeAllowed returns the text of a fault for the names that are allowed.
func describeAllowed(names []string, listPath string) string {
	if len(names) == 0 {
		return "a name listed in " + listPath + ", which lists none"
	}
	text := strings.Join(names[:min(len(names), maxNamesInFault)], ", ")
	if len(names) > maxNamesInFault {
		text += fmt.Sprintf(" and %d more", len(names)-maxNamesInFault)
	}
	return "a name listed in " + listPath + ": " + text
}

// canonicalAddress returns the same text for all notations of an address.
func canonicalAddress(address string) string {
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		return address
	}
	return netip.AddrPortFrom(ap.Addr().Unmap(), ap.Port()).String()
}

// declaredZones holds the names of the regions and zones that the network section declares.
type declaredZones struct {
	regions   []string
	zones     map[string][]string
	zonePaths map[string]string // of each region's list of zones
}

func (c *checker) checkNetwork(n *Network) declaredZones {
	all := declaredZones{zones: make(map[string][]string), zonePaths: make(map[string]string)}
	names := make(map[string]string)
	for i, r := range n.Regions {
		path := fmt.Sprintf("network.regions[%d]", i)
		c.checkUnique(names, r.Name, path+".name")
		zones := make(map[string]string)
		for j, zone := range r.Zones {
			c.checkUnique(zones, zone, fmt.Sprintf("%s.zones[%d]", path, j))
		}
		all.regions = append(all.regions, r.Name)
		all.zones[r.Name], all.zonePaths[r.Name] = r.Zones, path+".zones"
	}
	pairs := make(map[string]string)
	for i, l := range n.Links {
		path := fmt.Sprintf("network.links[%d]", i)
		c.checkReference(all.regions, "network.regions", l.From, path+".from")
		c.checkReference(all.regions, "network.regions", l.To, path+".to")
		if l.From == l.To {
			c.addFault(path+".to", l.To, "a region other than that of from")
		}
		if l.From != "" && l.To != "" {
			c.checkUnique(pairs, min(l.From, l.To)+" to "+max(l.From, l.To), path)
		}
	}
	if limit := n.MaxRequestDeadline; limit > 0 && n.DefaultDeadline > limit {
		c.addFault("network.default_deadline", n.DefaultDeadline, "at most max_request_deadline, "+limit.String())
	}
	return all
}

func (c *checker) checkModels(m *Models) []string {
	var all []string
	names := make(map[string]string)
	for i, model := range m.Models {
		path := fmt.Sprintf("models.models[%d]", i)
		c.checkUnique(names, model.Name, path+".name")
		if model.PreviousVersion != "" && model.PreviousVersion == model.Version {
			c.addFault(path+".previous_version", model.PreviousVersion, "a version other than version")
		}
		adapters := make(map[string]string)
		for j, adapter := range model.Adapters {
			c.checkUnique(adapters, adapter, fmt.Sprintf("%s.adapters[%d]", path, j))
		}
		all = append(all, model.Name)
	}
	return all
}

func (c *checker) checkUpstreams(d *Document, zones declaredZones, models []string) {
	ids, addresses := make(map[string]string), make(map[string]string)
	checkReplica := func(path, id, address, region, zone string) {
		c.checkUnique(ids, id, path+".id")
		c.checkUnique(addresses, canonicalAddress(address), path+".address")
		c.checkReference(zones.regions, "network.regions", region, path+".region")
		if list, known := zones.zones[region]; known {
			c.checkReference(list, zones.zonePaths[region], zone, path+".zone")
		}
	}
	for i, s := range d.Orders.Services {
		for j, u := range s.Upstreams {
			checkReplica(fmt.Sprintf("orders.services[%d].upstreams[%d]", i, j), u.ID, u.Address, u.Region, u.Zone)
		}
	}
	for i, e := range d.Models.Engines {
		path := fmt.Sprintf("models.engines[%d]", i)
		checkReplica(path, e.ID, e.Address, e.Region, e.Zone)
		named := make(map[string]string)
		for j, name := range e.Models {
			c.checkReference(models, "models.models", name, fmt.Sprintf("%s.models[%d]", path, j))
			c.checkUnique(named, name, fmt.Sprintf("%s.models[%d]", path, j))
		}
	}
}

func (c *checker) checkServices(o *Orders) {
	names := make(map[string]string)
	for i, s := range o.Services {
		path := fmt.Sprintf("orders.services[%d]", i)
		c.checkUnique(names, s.Name, path+".name")
		routes := make(map[string]string)
		for j, r := range s.Routes {
			if r.Method != "" && r.Path != "" {
				c.checkUnique(routes, r.Method+" "+r.Path, fmt.Sprintf("%s.routes[%d]", path, j))
			}
		}
	}
}

func (c *checker) checkCallers(all *Callers) {
	names, keys := make(map[string]string), make(map[string]string)
	for i, w := range all.Workspaces {
		path := fmt.Sprintf("callers.workspaces[%d]", i)
		c.checkUnique(names, w.Name, path+".name")
		c.checkUnique(keys, w.KeySHA256, path+".key_sha256")
	}
}
