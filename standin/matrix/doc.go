// Package matrix holds the fault matrix: every fault at every step, over the
// real decisions of the slices, joined by small fakes of the ways between
// them. Each cell has a verdict; an allowed loss names the line of the brief
// that allows it.
package matrix
