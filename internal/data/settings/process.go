package settings

// Document holds the settings of section [document].
type Document struct {
	// Path is a document file that is committed at startup if the key-value service has no document.
	Path string
}

func loadDocument(s *section) Document {
	return Document{Path: s.text("path", "")}
}

// Log holds the settings of section [log].
type Log struct {
	Level string
}

func loadLog(s *section) Log {
	return Log{Level: s.oneOf("level", "info", "debug", "info", "warn", "error")}
}

// Trace holds the settings of section [trace].
type Trace struct {
	// RecordPath is the file to which requests are recorded; empty disables recording.
	RecordPath string
}

func loadTrace(s *section) Trace {
	return Trace{RecordPath: s.text("record", "")}
}
