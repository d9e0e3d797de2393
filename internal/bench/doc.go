// Package bench replays traces through the decision code in virtual time and compares policies.
package bench
