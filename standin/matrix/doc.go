// Package matrix holds the fault matrix: it tests every step under every fault, with the
// real decision code and a simulated network between the nodes. Each cell has a verdict;
// a permitted failure names the sentence of the requirements that permits it.
package matrix
