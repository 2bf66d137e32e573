// Package settings reads flags and environment variables and checks them strictly:
// a wrong setting stops the start with the name of its flag.
package settings
