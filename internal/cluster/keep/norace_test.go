//go:build !race

package keep

const slower = 1
