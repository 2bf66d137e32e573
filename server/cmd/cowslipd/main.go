// Command cowslipd runs the roles entry, agent and control.
package main

func main() {}
