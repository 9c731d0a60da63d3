package cmd

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/document"
	"redwingloft/internal/web/console"
	"redwingloft/pkg/api"
)

// operatorTimeout bounds one request to the operator interface.
const operatorTimeout = 15 * time.Second

// maxOperatorResponse bounds an answer of the operator interface.
const maxOperatorResponse = 2 * document.MaxSize

func configCommand() *cli.Command {
	return &cli.Command{
		Name:   "config",
		Usage:  "read, check and change the configuration",
		Action: requireSubcommand,
		Commands: []*cli.Command{
			configShowCommand(), configValidateCommand(), configDiffCommand(), configApplyCommand(), configHistoryCommand(),
		},
	}
}

// operatorFlags name the operator interface and the operator. A password on the
// command line would show in the process list, so there is no flag for it.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "console", Usage: "`URL` of the operator listener of any host", Value: "http://127.0.0.1:8082", Sources: cli.EnvVars("REDWINGLOFT_CONSOLE")},
		&cli.StringFlag{Name: "operator", Usage: "`name` of the operator", Sources: cli.EnvVars("REDWINGLOFT_OPERATOR")},
		&cli.StringFlag{Name: "password-file", Usage: "`file` that holds the password; otherwise REDWINGLOFT_PASSWORD is used"},
		&cli.StringFlag{Name: "ca-file", Usage: "PEM `file` of the authority that signed the host's certificate"},
	}, more...)
}

// operatorClient calls the operator interface.
type operatorClient struct {
	url        string
	name       string
	password   string
	httpClient *http.Client
}

func newOperatorClient(c *cli.Command) (*operatorClient, error) {
	client := &operatorClient{
		url: strings.TrimSuffix(c.String("console"), "/"), name: c.String("operator"),
		password: os.Getenv("REDWINGLOFT_PASSWORD"), httpClient: &http.Client{Timeout: operatorTimeout},
	}
	if path := c.String("password-file"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, fmt.Errorf("the password file can't be read: %w", err)
		}
		client.password = strings.TrimRight(string(data), "\r\n")
	}
	if client.name == "" || client.password == "" {
		return nil, errors.New("set --operator (or REDWINGLOFT_OPERATOR), and REDWINGLOFT_PASSWORD or --password-file")
	}
	if path := c.String("ca-file"); path != "" {
		trusted, err := loadCA(path)
		if err != nil {
			return nil, err
		}
		client.httpClient.Transport = &http.Transport{TLSClientConfig: trusted}
	}
	return client, nil
}

// do sends body, where not nil, and decodes the answer into result. A refusal is returned as *api.Error.
func (o *operatorClient) do(ctx context.Context, method, path string, body, result any) error {
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		content = bytes.NewReader(encoded)
	}
	request, err := http.NewRequestWithContext(ctx, method, o.url+path, content)
	if err != nil {
		return err
	}
	request.SetBasicAuth(o.name, o.password)
	request.Header.Set("Content-Type", "application/json")
	response, err := o.httpClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxOperatorResponse))
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		refusal := &api.Error{}
		if json.Unmarshal(data, refusal) != nil || refusal.Kind == "" {
			return fmt.Errorf("%s answered %s", o.url, response.Status)
		}
		return refusal
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("the answer of %s is not valid: %w", o.url, err)
	}
	return nil
}

// read returns a revision with its document; revision 0 means the one in force.
func (o *operatorClient) read(ctx context.Context, revision api.Revision) (*document.Document, console.ConfigAnswer, error) {
	path := console.PathConfig
	if revision != 0 {
		path = fmt.Sprintf("%s%d", console.PathRevisions, revision)
	}
	var answer console.ConfigAnswer
	if err := o.do(ctx, http.MethodGet, path, nil, &answer); err != nil {
		return nil, answer, err
	}
	doc, err := document.Parse(answer.Document)
	return doc, answer, err
}

// readDocument reads a document from a file, or from the standard input where path is "-".
func readDocument(path string) (*document.Document, error) {
	var data []byte
	var err error
	if path == "-" {
		data, err = io.ReadAll(io.LimitReader(os.Stdin, document.MaxSize+1))
	} else {
		data, err = os.ReadFile(path)
	}
	if err != nil {
		return nil, err
	}
	return document.Parse(data)
}

// fileArgument returns the single argument of a subcommand.
func fileArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", fmt.Errorf("%s takes one FILE", c.Name)
	}
	return c.Args().First(), nil
}

func printChanges(out io.Writer, changes []document.Change) {
	if len(changes) == 0 {
		fmt.Fprintln(out, "no difference")
	}
	for _, change := range changes {
		fmt.Fprintln(out, change)
	}
}

func printFaults(out io.Writer, faults []api.Fault) {
	for _, fault := range faults {
		fmt.Fprintf(out, "%s: %s\n", fault.Path, fault.Message)
	}
}
