// Package intake reads request bodies into memory, within the memory of the process: coord/bodybudget
// decides which are rejected when it is used up.
package intake
