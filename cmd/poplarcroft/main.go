// Command poplarcroft runs one host of the router.
package main

func main() {}
