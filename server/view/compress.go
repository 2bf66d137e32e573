package view

import (
	"bytes"
	"compress/gzip"
	"io"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

// compressAbove is the length in bytes from which compression pays: below it a
// questionnaire fits into a few packets.
const compressAbove = 4 << 10

// Compress shortens a view for the way. A questionnaire of 30,000 adapters has
// 1.3 MB; sent as it is at 1,000 changes a day it would alone cost each host three
// times what control may (docs/CAPACITY.md). Its lines are much alike.
func Compress(v *coordpb.View) *coordpb.View {
	if len(v.Questionnaire) <= compressAbove {
		return v
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	// Writing into a buffer in memory does not fail.
	_, _ = w.Write(v.Questionnaire)
	_ = w.Close()
	v.QuestionnaireGzip, v.Questionnaire = b.Bytes(), nil
	return v
}

// questionnaireOf returns the text of a view, nil where it brings none. Text that
// grows beyond what a questionnaire may have is refused while it is read.
func questionnaireOf(v *coordpb.View) ([]byte, error) {
	if len(v.QuestionnaireGzip) == 0 {
		return v.Questionnaire, nil
	}
	r, err := gzip.NewReader(bytes.NewReader(v.QuestionnaireGzip))
	if err != nil {
		return nil, fault.New(fault.Internal, "questionnaire in a view: %v", err)
	}
	text, err := io.ReadAll(io.LimitReader(r, config.MaxQuestionnaireBytes+1))
	if err != nil {
		return nil, fault.New(fault.Internal, "questionnaire in a view: %v", err)
	}
	if len(text) > config.MaxQuestionnaireBytes {
		return nil, fault.New(fault.TooLarge, "questionnaire in a view is longer than %d bytes", config.MaxQuestionnaireBytes)
	}
	return text, nil
}
