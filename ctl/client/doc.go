// Package client calls the operators' API of the control hosts: it goes on to
// the next host when one cannot be reached or cannot commit.
package client
