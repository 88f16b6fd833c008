// Command poplarctl is the operators' tool.
package main

func main() {}
