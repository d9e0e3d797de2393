// Command demo runs a small fleet on loopback and plays a trace through it.
package main

func main() {}
