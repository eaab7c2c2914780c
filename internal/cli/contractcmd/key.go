package contractcmd

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/crocuscross/crocuscross/apikey"
	"github.com/crocuscross/crocuscross/configpb"
	"github.com/crocuscross/crocuscross/fold"
	"github.com/crocuscross/crocuscross/internal/bundle"
	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/publish"
)

// keyFlags holds the arguments and the flags of "contract key add" and "contract key revoke".
type keyFlags struct {
	publishFlags
	customer string
	id       string
	label    string
}

// keyResult is the JSON output of "contract key add" and "contract key revoke".
type keyResult struct {
	publishResult
	ID       string `json:"id"`
	Customer string `json:"customer,omitempty"`
	// Key is the new API key. It is set only if the key was accepted, and is not stored anywhere.
	Key string `json:"key,omitempty"`
}

// keyItem is the JSON output for one API key in force.
type keyItem struct {
	ID       string    `json:"id"`
	Customer string    `json:"customer"`
	Label    string    `json:"label,omitempty"`
	Author   string    `json:"author"`
	Added    time.Time `json:"added"`
	Revision uint64    `json:"revision"`
}

func registerKey(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("key", "Add, list and revoke the API keys of a customer.")
	registerKeyAdd(cmd, env)
	registerKeyList(cmd, env)
	registerKeyRevoke(cmd, env)
}

func registerKeyAdd(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("add", "Generate an API key for a customer and print it. It cannot be shown again: only its digest is stored.")
	cmd.HelpLong(command.Example("crocuscross contract key add garage-7 --label billing --author jane --platform http://10.1.0.1:7300"))
	f := &keyFlags{}
	cmd.Arg("customer", "Customer with a contract.").Required().StringVar(&f.customer)
	cmd.Flag("label", "What the key is for.").StringVar(&f.label)
	cmd.Flag("author", "Who adds the key.").Required().StringVar(&f.author)
	f.addCommonFlags(cmd)
	cmd.Action(command.Action(func() error { return f.add(env) }))
}

func registerKeyRevoke(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("revoke", "Revoke an API key.")
	cmd.HelpLong(command.Example("crocuscross contract key revoke 9dca666eb547 --author jane --platform http://10.1.0.1:7300 --daemon 10.1.2.3:7401 --wait=4s"))
	f := &keyFlags{}
	cmd.Arg("id", "ID of the key, as shown by key list.").Required().StringVar(&f.id)
	cmd.Flag("author", "Who revokes the key.").Required().StringVar(&f.author)
	f.addCommonFlags(cmd)
	cmd.Action(command.Action(func() error { return f.revoke(env) }))
}

func registerKeyList(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("list", "List the API keys in force by ID.")
	cmd.HelpLong(command.Example("crocuscross contract key list garage-7 --daemon 10.1.2.3:7401"))
	connect := &command.Connect{}
	customer := cmd.Arg("customer", "Show only the keys of this customer.").String()
	addStateFlags(cmd, connect)
	cmd.Action(command.Action(func() error { return listKeys(env, connect, *customer) }))
}

// add publishes the digest of a new key.
func (f *keyFlags) add(env *command.Env) error {
	key := apikey.Generate()
	digest := apikey.DigestOf(key)
	f.id = digest.ID()
	result, waitErr, err := f.publishKey(env, &configpb.Change{
		Resource: apiKeyResource(&configpb.ApiKey{Id: f.id, Customer: f.customer, Digest: digest[:], Label: f.label}),
	})
	if err != nil {
		return err
	}
	if result.Outcome == publish.Accepted {
		result.Key = key
	}
	if err := env.Print(result, result.writeAdded); err != nil {
		return err
	}
	return result.exit(waitErr)
}

func (f *keyFlags) revoke(env *command.Env) error {
	result, waitErr, err := f.publishKey(env, &configpb.Change{
		Resource: apiKeyResource(&configpb.ApiKey{Id: f.id}), Delete: true,
	})
	if err != nil {
		return err
	}
	if err := env.Print(result, result.write); err != nil {
		return err
	}
	return result.exit(waitErr)
}

// publishKey publishes one change of an API key.
func (f *keyFlags) publishKey(env *command.Env, change *configpb.Change) (result keyResult, waitErr, err error) {
	if err := f.checkWait(); err != nil {
		return keyResult{}, nil, err
	}
	published, waitErr, err := f.publish(env.Context, publish.Request{
		File:      &bundle.File{Author: f.author, Changes: []bundle.Change{{Change: change}}},
		Author:    f.author,
		PublishID: publish.NewPublishID(),
		Revisions: publish.Revisions{Auto: true},
	})
	return keyResult{publishResult: published, ID: f.id, Customer: f.customer}, waitErr, err
}

func apiKeyResource(k *configpb.ApiKey) *configpb.Resource {
	return &configpb.Resource{Kind: &configpb.Resource_ApiKey{ApiKey: k}}
}

func (r keyResult) writeAdded(w io.Writer) {
	if r.Outcome == publish.Unknown {
		fmt.Fprintf(w, "outcome unknown: look for API key %s with \"contract key list %s\" and revoke it, then add another\n", r.ID, r.Customer)
		return
	}
	r.write(w)
	if r.Key != "" {
		fmt.Fprintf(w, "id:  %s\nkey: %s\nThe key is shown only now.\n", r.ID, r.Key)
	}
}

func listKeys(env *command.Env, connect *command.Connect, customer string) error {
	st, err := loadState(env, connect)
	if err != nil {
		return err
	}
	items := []keyItem{}
	for _, e := range st.Entries(fold.KindAPIKey) {
		k := e.Resource.GetApiKey()
		if customer != "" && k.GetCustomer() != customer {
			continue
		}
		items = append(items, keyItem{
			ID: k.GetId(), Customer: k.GetCustomer(), Label: k.GetLabel(), Author: e.Author,
			Added: time.UnixMilli(e.PublishedUnixMs).UTC(), Revision: e.Revision,
		})
	}
	return env.Print(items, func(w io.Writer) { writeKeys(w, items) })
}

func writeKeys(w io.Writer, items []keyItem) {
	var rows []command.Row
	for _, it := range items {
		rows = append(rows, command.Row{it.ID, it.Customer, command.OrDash(it.Label), command.OrDash(it.Author), formatTime(it.Added)})
	}
	command.Table(w, command.Row{"ID", "CUSTOMER", "LABEL", "AUTHOR", "ADDED"}, rows)
}
