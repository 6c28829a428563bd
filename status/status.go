// Package status holds the duty of telling operators how the nodes stand: what
// one node reports, and what the reports of many nodes say together.
package status
