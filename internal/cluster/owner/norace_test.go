//go:build !race

package owner

const slower = 1
