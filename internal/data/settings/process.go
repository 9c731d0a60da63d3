package settings

// Document is the section [document].
type Document struct {
	// Path names a document that is committed at start where the key-value service holds none.
	Path string
}

func loadDocument(s *section) Document {
	return Document{Path: s.text("path", "")}
}

// Log is the section [log].
type Log struct {
	Level string
}

func loadLog(s *section) Log {
	return Log{Level: s.oneOf("level", "info", "debug", "info", "warn", "error")}
}

// Trace is the section [trace].
type Trace struct {
	// Record names the file to which requests are recorded; empty records nothing.
	Record string
}

func loadTrace(s *section) Trace {
	return Trace{Record: s.text("record", "")}
}
