package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/redwingpath/redwingpath/pkg/operator"
)

const keygenHelp = `Generates a caller key, or an operator's token with -operator, and prints it
with its SHA-256 digest. Only the digest is given to redwingpath:

  redwingctl run 'grant key k1 org casa-toledo digest DIGEST'
  "operators": [{"name": "lucia", "token_sha256": "DIGEST"}]

The secret is not stored and cannot be shown again.`

// generatedSecret is the output of keygen: a secret and its digest.
type generatedSecret struct {
	Secret string `json:"secret"`
	Digest string `json:"digest"`
}

// Write writes the secret and its digest as text.
func (g *generatedSecret) Write(w io.Writer) error {
	_, err := fmt.Fprintf(w, "secret  %s\ndigest  %s\n", g.Secret, g.Digest)
	return err
}

func keygenCommand(std *streams) *ffcli.Command {
	flags := newFlagSet("redwingctl keygen", std)
	forOperator := flags.Bool("operator", false, "generate an operator's token")
	output := flags.String("o", outputTable, "output format: table or json")
	return &ffcli.Command{
		Name:       "keygen",
		ShortUsage: "redwingctl keygen [flags]",
		ShortHelp:  "Generate a key or an operator's token",
		LongHelp:   keygenHelp,
		FlagSet:    flags,
		Exec: func(context.Context, []string) error {
			generate := operator.NewKey
			if *forOperator {
				generate = operator.NewToken
			}
			secret, digest, err := generate()
			if err != nil {
				return err
			}
			c := connection{output: *output}
			return c.print(std, &generatedSecret{Secret: secret, Digest: digest})
		},
	}
}
