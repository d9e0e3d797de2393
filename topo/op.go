package topo

// Op is the kind of a call to the store, by which calls are counted against the platform's limits.
type Op string

// The kinds of calls. OpNone is not counted.
const (
	OpNone      Op = ""
	OpGet       Op = "get"
	OpList      Op = "list"
	OpPut       Op = "put"
	OpDelete    Op = "delete"
	OpGrant     Op = "grant"
	OpKeepAlive Op = "keepalive"
	OpRevoke    Op = "revoke"
	OpWatch     Op = "watch"
)

// Writes reports whether the call changes the store.
func (o Op) Writes() bool {
	switch o {
	case OpPut, OpDelete, OpGrant, OpKeepAlive, OpRevoke:
		return true
	}
	return false
}
