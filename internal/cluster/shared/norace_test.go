//go:build !race

package shared

const raceDivisor = 1
