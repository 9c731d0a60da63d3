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

// maxOperatorResponse bounds the size of a response from the operator interface.
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

// operatorFlags returns the flags for the operator interface and the operator, and more. A
// password on the command line would show in the process list, so there is no flag for it.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "console", Usage: "`URL` of the operator listener of any host", Value: "http://127.0.0.1:8082", Sources: cli.EnvVars("REDWINGLOFT_CONSOLE")},
		&cli.StringFlag{Name: "operator", Usage: "`name` of the operator", Sources: cli.EnvVars("REDWINGLOFT_OPERATOR")},
		&cli.StringFlag{Name: "password-file", Usage: "`file` with the password; defaults to the value of REDWINGLOFT_PASSWORD"},
		&cli.StringFlag{Name: "ca-file", Usage: "PEM `file` with the CA of the host's certificate"},
	}, more...)
}

// operatorClient is a client of the operator interface of a host.
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
			return nil, fmt.Errorf("read the password file: %w", err)
		}
		client.password = strings.TrimRight(string(data), "\r\n")
	}
	if client.name == "" || client.password == "" {
		return nil, errors.New("set --operator (or REDWINGLOFT_OPERATOR), and REDWINGLOFT_PASSWORD or --password-file")
	}
	if path := c.String("ca-file"); path != "" {
		tlsConfig, err := loadCA(path)
		if err != nil {
			return nil, err
		}
		client.httpClient.Transport = &http.Transport{TLSClientConfig: tlsConfig}
	}
	return client, nil
}

// do sends body, if not nil, and decodes the response into result. It returns an error response as *api.Error.
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
		apiError := &api.Error{}
		if json.Unmarshal(data, apiError) != nil || apiError.Kind == "" {
			return fmt.Errorf("%s returned status %s", o.url, response.Status)
		}
		return apiError
	}
	if err := json.Unmarshal(data, result); err != nil {
		return fmt.Errorf("the response of %s is not valid: %w", o.url, err)
	}
	return nil
}

// read returns a revision with its document; revision 0 means the active one.
func (o *operatorClient) read(ctx context.Context, revision api.Revision) (*document.Document, console.ConfigResponse, error) {
	path := console.PathConfig
	if revision != 0 {
		path = fmt.Sprintf("%s%d", console.PathRevisions, revision)
	}
	var response console.ConfigResponse
	if err := o.do(ctx, http.MethodGet, path, nil, &response); err != nil {
		return nil, response, err
	}
	doc, err := document.Parse(response.Document)
	return doc, response, err
}

// readDocument reads a document from a file, or from standard input if path is "-".
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
		return "", fmt.Errorf("%s expects one FILE", c.Name)
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
