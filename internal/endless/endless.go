// Package endless plays, for tests, a server whose response does not end.
package endless

import (
	"io"
	"net"
	"strings"
)

// writeBytes is the size of a write, so that short blocks do not cost a system call each.
const writeBytes = 16 << 10

// Respond writes prefix to a connection and then repeats block until the other side closes it. It discards what it
// receives.
func Respond(c net.Conn, prefix, block string) {
	defer c.Close()
	go io.Copy(io.Discard, c)
	data := []byte(strings.Repeat(block, 1+writeBytes/len(block)))
	for _, err := io.WriteString(c, prefix); err == nil; {
		_, err = c.Write(data)
	}
}

// Serve responds so on each connection of a listener until that is closed.
func Serve(l net.Listener, prefix, block string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go Respond(c, prefix, block)
	}
}
