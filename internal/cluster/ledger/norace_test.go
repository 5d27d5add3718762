//go:build !race

package ledger

const raceDivisor = 1
