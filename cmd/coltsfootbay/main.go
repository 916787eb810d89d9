// Command coltsfootbay is the load balancer's only binary.
package main

func main() {}
