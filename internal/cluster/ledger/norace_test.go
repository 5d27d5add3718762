//go:build !race

package ledger

const slower = 1
