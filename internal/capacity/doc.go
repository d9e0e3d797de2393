// Package capacity measures the cost per instance of membership in a whole fleet. All instances run in one process in
// real time; engines are fakes whose load changes each second. CPU time and memory are those of the process divided by
// the number of instances, so they include the fakes.
package capacity
