// Command bench runs the policy benchmarks.
package main

func main() {}
