package cmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"redwingloft/internal/data/fleet"
	"redwingloft/internal/data/settings"
	"redwingloft/internal/data/store"
	"redwingloft/internal/kernel"
	"redwingloft/internal/service/quarantine"
)

func quarantineCommand() *cli.Command {
	flags := []cli.Flag{&cli.StringFlag{Name: "settings", Aliases: []string{"s"}, Usage: "path of an entry host's INI `file`", Sources: cli.EnvVars(settingsEnv)}}
	return &cli.Command{
		Name:   "quarantine",
		Usage:  "commands for the parts of prompts that entry hosts refuse because they crashed engines",
		Action: requireSubcommand,
		Commands: []*cli.Command{
			{Name: "list", Usage: "list the parts, with the end of their quarantine", Flags: flags, Action: listQuarantine},
			{Name: "lift", Usage: "end the quarantine of parts, for instance after the engines were replaced", ArgsUsage: "PART...", Flags: flags, Action: liftQuarantine},
		},
	}
}

// quarantineStore opens the store of an entry host and returns the key prefix of its quarantined
// parts.
func quarantineStore(c *cli.Command) (store.Store, string, error) {
	s, err := settings.Load(c.String("settings"))
	if err != nil {
		return nil, "", err
	}
	kv, err := openStore(s, func(key string, err error) {
		fmt.Fprintf(c.Root().ErrWriter, "%s is left out: %v\n", key, err)
	})
	return kv, quarantinePrefix(s), err
}

// openStore opens the store that the settings name. onMalformed is called for items that can't be
// decoded.
func openStore(s *settings.Settings, onMalformed func(key string, err error)) (store.Store, error) {
	factory, err := kernel.Stores.Get(s.Store.Kind)
	if err != nil {
		return nil, fmt.Errorf("[store] kind: %w", err)
	}
	return factory(kernel.StoreOptions{Endpoints: s.Store.Endpoints, Timeout: s.Store.Timeout, WatchWait: s.Store.WatchWait, OnMalformed: onMalformed})
}

// quarantinePrefix returns the key prefix of quarantined parts of prompts.
func quarantinePrefix(s *settings.Settings) string { return s.Store.Prefix + "quarantine/" }

func listQuarantine(ctx context.Context, c *cli.Command) error {
	kv, prefix, err := quarantineStore(c)
	if err != nil {
		return err
	}
	entries, err := kv.List(ctx, prefix, "", 0)
	if err != nil {
		return err
	}
	out := tabwriter.NewWriter(c.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(out, "PART\tCRASHES\tUNTIL")
	for _, entry := range entries {
		var part fleet.QuarantinedPart
		if err := json.Unmarshal(entry.Value, &part); err != nil {
			return fmt.Errorf("decode %s: %w", entry.Key, err)
		}
		fmt.Fprintf(out, "%s\t%d\t%s\n", part.Part, part.Crashes, part.Until.UTC().Format(time.RFC3339))
	}
	return out.Flush()
}

func liftQuarantine(ctx context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return errors.New("quarantine lift expects at least one part")
	}
	kv, prefix, err := quarantineStore(c)
	if err != nil {
		return err
	}
	for _, part := range c.Args().Slice() {
		key := quarantine.Key(prefix, part)
		entry, err := kv.Get(ctx, key)
		if err != nil {
			return err
		}
		if entry == nil {
			return fmt.Errorf("part %q is not in quarantine", part)
		}
		if _, err := kv.Txn(ctx, store.Txn{Deletes: []string{key}}); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(c.Root().Writer, "%s lifted\n", part); err != nil {
			return err
		}
	}
	return nil
}
