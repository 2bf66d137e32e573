// Package rpc contains the generated RPC services between the processes of the
// cluster, and the conversion of errors to and from Twirp errors.
package rpc
