// Package capacity measures what the system costs at its target size. Its figures
// are the basis of docs/CAPACITY.md. It contains only tests:
//
//   - Benchmarks of the host's work whose cost grows with the number of servers,
//     hosts or request IDs: applying log records, planning, snapshots, memory.
//   - TestCapacity, which starts host processes and stand-ins on loopback and
//     prints the CPU time, traffic and memory of a host. It runs only with the
//     flag -capacity, because it takes minutes. It fails if a system does not
//     start or a slice gets no owner, but not because of a figure.
package capacity
