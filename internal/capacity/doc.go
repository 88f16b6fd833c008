// Package capacity holds the measurements behind docs/CAPACITY.md. They are
// benchmarks of what a host computes, and runs of whole systems on loopback
// that take place only where a flag of the test binary asks for them.
package capacity
