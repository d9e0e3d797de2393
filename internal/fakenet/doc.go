// Package fakenet is an in-memory network for tests and measurements, with refused and unreachable addresses and with
// connections that can go silent. It works in virtual time (testing/synctest), where real sockets do not.
package fakenet
