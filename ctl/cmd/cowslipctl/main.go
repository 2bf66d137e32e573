// Command cowslipctl is the operators' client.
package main

func main() {}
