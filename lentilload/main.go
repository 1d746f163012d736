// Command lentilload puts load on a site and audits what the system promises.
package main

func main() {}
