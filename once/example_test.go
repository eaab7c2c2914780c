package once_test

import (
	"context"
	"fmt"

	"github.com/crocuscross/crocuscross/errkind"
	"github.com/crocuscross/crocuscross/once"
)

// A caller obtains a key, sends a request for a permit hold under it, and retries the request
// because no response arrives. The hold is placed once.
func ExampleKeyStore() {
	keys := once.NewKeyStore(once.DefaultKeyStoreOptions("host-a", 7))
	sent := keys.Issue(1)[0].String()

	body := []byte(`{"space":17}`)
	for range 2 {
		key, err := once.ParseKey(sent)
		if err != nil {
			fmt.Println(err)
			return
		}
		fp := once.NewFingerprint("POST", "/holds", "garage-9")
		_, _ = fp.Write(body)
		run, resp, err := keys.Begin(key, fp.Sum())
		switch {
		case err != nil:
			fmt.Println(errkind.Of(err))
		case run != nil:
			rec := once.NewRecorder(1 << 10)
			rec.WriteHeader(201, nil)
			fmt.Fprint(rec, "held")
			run.Finish(rec.Response())
			fmt.Println("ran")
		default:
			fmt.Println("replayed:", resp.Status, string(resp.Body))
		}
	}
	// Output:
	// ran
	// replayed: 201 held
}

// The connection to a gate stops responding before the message of an attempt has arrived. The
// sender queries the outcome over a new connection, and the gate rejects the late attempt.
func ExampleAttemptTable() {
	gate := once.NewAttemptTable(once.DefaultAttemptTableOptions(7))
	sender := once.NewIDAllocator(once.DefaultIDAllocatorOptions(
		func(context.Context, once.GateID) (once.Lane, error) { return gate.OpenLane() }))
	id, _ := sender.Next(context.Background(), once.GateID{Host: "host-a", Boot: 7})

	fmt.Println(gate.Query(id, true).Outcome == once.NotRun)
	fmt.Println(errkind.Of(gate.Start(id)))
	// Output:
	// true
	// barred
}
