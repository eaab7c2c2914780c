package contractcmd

import (
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/cockroachdb/errors"

	"github.com/crocuscross/crocuscross/internal/bundle"
	"github.com/crocuscross/crocuscross/internal/cli/command"
	"github.com/crocuscross/crocuscross/internal/jsonc"
)

// validateResult is the JSON output of "contract validate".
type validateResult struct {
	File     string          `json:"file"`
	Good     bool            `json:"good"`
	Changes  int             `json:"changes"`
	Problems []jsonc.Problem `json:"problems,omitempty"`
}

func registerValidate(parent *kingpin.CmdClause, env *command.Env) {
	cmd := parent.Command("validate", "Report all problems of a publish file without publishing it.")
	cmd.HelpLong(command.Example("crocuscross contract validate examples/association/contracts.jsonc"))
	path := cmd.Arg("file", "Publish file: JSON with comments.").Required().String()
	cmd.Action(command.Action(func() error { return validate(env, *path) }))
}

func validate(env *command.Env, path string) error {
	result := validateResult{File: path}
	file, err := bundle.ReadFile(path)
	var problems jsonc.Problems
	switch {
	case err == nil:
		result.Good, result.Changes = true, len(file.Changes)
	case errors.As(err, &problems):
		result.Problems = problems
	default:
		return command.Exit(command.StatusBadInput, err)
	}
	if err := env.Print(result, result.write); err != nil {
		return err
	}
	if !result.Good {
		return command.Exit(command.StatusBadInput, nil)
	}
	return nil
}

func (r validateResult) write(w io.Writer) {
	if r.Good {
		fmt.Fprintf(w, "%s: good, %d changes\n", r.File, r.Changes)
		return
	}
	for _, p := range r.Problems {
		fmt.Fprintln(w, p.Error())
	}
}
