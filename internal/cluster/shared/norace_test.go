//go:build !race

package shared

const slower = 1
