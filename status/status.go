// Package status reports the state of the nodes to operators: the report of one
// node, and the evaluation of the reports of many nodes.
package status
