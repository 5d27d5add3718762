//go:build !race

package keep

// scheduleDivisor is 1 without the race detector: all schedules run.
const scheduleDivisor = 1
