package console

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"

	"redwingloft/internal/data/document"
	"redwingloft/pkg/api"
)

// Keys of the document and restore forms.
const (
	keyText     = "text"
	keyRevision = "revision"
)

func documentForm() *form {
	documentLayout := func(*document.Document, url.Values) layout {
		return layout{Fields: []field{
			{Key: keyText, Label: "Complete document (JSON)", Kind: fieldArea, custom: true},
			{Key: "upload", Label: "Or upload a file", Help: "A file replaces the text.", Kind: fieldFile, custom: true},
		}}
	}
	return &form{
		path: "/document/edit", title: "Complete document", listPath: "/document", hasPage: true, layout: documentLayout,
		fill: func(doc *document.Document, _ url.Values) (url.Values, bool) {
			encoded, err := doc.Encode()
			return url.Values{keyText: {string(encoded)}}, err == nil
		},
		apply: func(_ *operatorRequest, doc *document.Document, values url.Values, _ layout) applyResult {
			parsed, err := document.Parse([]byte(values.Get(keyText)))
			if err != nil {
				return applyResult{faults: []api.Fault{{Path: keyText, Message: err.Error()}}}
			}
			*doc = *parsed
			return applyResult{}
		},
	}
}

// readUpload replaces the document text in values by the uploaded file.
func readUpload(r *operatorRequest, values url.Values) error {
	file, header, err := r.FormFile("upload")
	if err != nil {
		return errors.New("the uploaded file can't be read")
	}
	defer file.Close()
	if header.Size > document.MaxSize {
		return errors.New("the uploaded file is larger than the maximum size of a document")
	}
	data, err := io.ReadAll(file)
	if err != nil {
		return errors.New("the uploaded file can't be read")
	}
	if header.Filename != "" {
		values.Set(keyText, strings.ToValidUTF8(string(data), "\uFFFD"))
	}
	return nil
}

// restoreForm returns the form that commits the document of an earlier revision as a new one.
func (h *Handler) restoreForm() *form {
	return &form{
		path: "/history/restore", title: "Restore a revision", listPath: "/history",
		layout: func(*document.Document, url.Values) layout {
			return layout{Fields: []field{{Key: keyRevision, Label: "Revision to restore", Kind: fieldNumber, custom: true}}}
		},
		apply: func(r *operatorRequest, doc *document.Document, values url.Values, _ layout) applyResult {
			revision, err := parseRevision(values.Get(keyRevision))
			if err != nil {
				return applyResult{faults: []api.Fault{{Path: keyRevision, Message: "not a revision"}}}
			}
			old, err := h.documentAt(r.Context(), revision)
			if err != nil {
				return applyResult{faults: []api.Fault{{Path: keyRevision, Message: err.Error()}}}
			}
			*doc = *old.Clone()
			return applyResult{}
		},
	}
}

func (h *Handler) document(r *operatorRequest) {
	doc, revision := h.activeDocument()
	encoded, err := redactHashes(doc, r.operator).Encode()
	if err != nil {
		h.showError(r, http.StatusInternalServerError, "The document can't be encoded.")
		return
	}
	h.renderPage(r, http.StatusOK, "document", "Document", documentView{Revision: revision, Text: string(encoded)})
}

func (h *Handler) download(r *operatorRequest) {
	doc, revision := h.activeDocument()
	encoded, err := redactHashes(doc, r.operator).Encode()
	if err != nil {
		h.showError(r, http.StatusInternalServerError, "The document can't be encoded.")
		return
	}
	r.w.Header().Set("Content-Type", "application/json")
	r.w.Header().Set("Content-Disposition", `attachment; filename="document-`+formatRevision(revision)+`.json"`)
	// The browser may have disconnected; a write error is ignored.
	_, _ = r.w.Write(encoded)
}
