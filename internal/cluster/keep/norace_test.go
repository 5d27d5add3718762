//go:build !race

package keep

const scheduleDivisor = 1
