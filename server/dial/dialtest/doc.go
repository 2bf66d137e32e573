// Package dialtest has stand-ins for peers that stop reading, for tests of canceled requests.
package dialtest
