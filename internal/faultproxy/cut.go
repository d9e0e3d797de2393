package faultproxy

import "net"

// Hold holds back, in both directions, what the open connections of some clients carry, given by their local ports, and ends
// the hold of all others. Nothing is lost.
func (l *Link) Hold(clients map[int]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.pairs {
		p.held = clients[clientPort(p.client)]
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// ResetClients resets the open connections of some clients, given by their local ports.
func (l *Link) ResetClients(clients map[int]bool) {
	for _, p := range l.openPairs() {
		if clients[clientPort(p.client)] {
			p.close()
		}
	}
}

func clientPort(conn net.Conn) int { return conn.RemoteAddr().(*net.TCPAddr).Port }
