//go:build race

package concurrency

// raceEnabled says that the tests run with the race detector.
const raceEnabled = true
