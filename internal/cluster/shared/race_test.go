//go:build race

package shared

// raceDivisor divides the number of simulated schedules when the race detector is on.
const raceDivisor = 10
