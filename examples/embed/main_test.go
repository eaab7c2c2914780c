package main

import (
	"context"
	"fmt"
	"os"
)

func Example() {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	if err := run(ctx, os.Stdout); err != nil {
		fmt.Println(err)
	}
	// Output:
	// 2 nodes know each other
	// version 1 is in force on all
	// of 8 calls to both nodes 4 were admitted and 4 refused
	// the hold runs
	// sent again, got the first answer: space 12 is held
}
