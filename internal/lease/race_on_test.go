//go:build race

package lease

// raceEnabled says that the race detector slows the tests down.
const raceEnabled = true
