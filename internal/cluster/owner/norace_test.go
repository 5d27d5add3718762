//go:build !race

package owner

const raceDivisor = 1
