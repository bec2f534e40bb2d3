package settings

// LogFormat is the encoding of log lines.
type LogFormat string

// Encodings of log lines.
const (
	LogJSON    LogFormat = "json"
	LogConsole LogFormat = "console"
)

// Logging holds the level, the format and the destination of the log lines.
type Logging struct {
	// Level is the least severe level that is logged: "debug", "info", "warn"
	// or "error". Default: "info".
	Level string `json:"level"`
	// Format is "json" or "console". Default: "json".
	Format LogFormat `json:"format"`
	// Output is "stderr", "stdout" or a file name. Default: "stderr".
	Output string `json:"output"`
	// SamplePerSecond bounds the lines per second with the same message; further
	// ones are dropped. 0 means no limit. Unit: lines/s. Default: 100.
	SamplePerSecond int `json:"sample_per_second"`
	// JournalEntries is the number of decisions kept for explain requests. Unit:
	// entries. Default: 4096.
	JournalEntries int `json:"journal_entries"`
}

func defaultLogging() Logging {
	return Logging{
		Level:           "info",
		Format:          LogJSON,
		Output:          "stderr",
		SamplePerSecond: 100,
		JournalEntries:  4096,
	}
}
