// The stand-ins and cases of the second review.
package main

import (
	"fmt"
	"os"
)

var cases = map[string]func(*lab) error{}

func main() {
	if len(os.Args) > 2 && os.Args[1] == "runner" {
		runnerMain(os.Args[2:])
		return
	}
	run := cases[os.Args[1]]
	l, err := newLab()
	if err != nil || run == nil {
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	}
	err = run(l)
	l.close()
	switch {
	case err != nil:
		fmt.Println("the case could not run:", err)
		os.Exit(2)
	case l.violated:
		fmt.Println("the rule was broken, see record.txt")
		os.Exit(1)
	}
	fmt.Println("the rule held")
}
