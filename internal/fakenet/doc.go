// Package fakenet is a network in memory for tests and measurements: connections that can go silent, refused and
// unreachable addresses. It works in virtual time (testing/synctest), where real sockets do not.
package fakenet
