//go:build race

package ledger

// slower is how many times fewer schedules are played beside the race detector.
const slower = 10
