//go:build race

package keep

// scheduleDivisor reduces the number of schedules under the race detector.
const scheduleDivisor = 10
