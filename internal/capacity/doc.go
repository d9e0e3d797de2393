// Package capacity measures what the membership of a whole fleet costs each instance. All instances run in one process
// in real time; engines are fakes whose load changes each second. Figures of processor time and memory are those of the
// process divided by the number of instances, so they include the fakes.
package capacity
