//go:build race

package leader

// raceEnabled reports whether the race detector is on; it slows the tests down.
const raceEnabled = true
