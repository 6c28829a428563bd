package main

import (
	"fmt"
	"io"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version and the revision that the binary was built from.
func (*versionCommand) Run(out io.Writer) error {
	version, revision := "unknown", ""
	if info, ok := debug.ReadBuildInfo(); ok {
		version = info.Main.Version
		revision = revisionOf(info)
	}
	_, err := fmt.Fprintln(out, "cactustray", version, revision)
	return err
}

func revisionOf(info *debug.BuildInfo) string {
	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			return setting.Value
		}
	}
	return ""
}
