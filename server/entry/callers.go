package entry

import (
	"cmp"
	"context"
	"io"
	"slices"

	"cowsliptiller/server/gen/callers"
	"cowsliptiller/server/view"
)

// Paths of the customary API, which are the same at a target.
const (
	chatPath        = "/v1/chat/completions"
	completionsPath = "/v1/completions"
)

// service implements the generated callers service.
type service struct {
	entry *Entry
}

// ChatCompletions answers a conversation.
func (s *service) ChatCompletions(ctx context.Context, p *callers.ChatCompletionsPayload, _ io.ReadCloser) (*callers.CallAnswer, io.ReadCloser, error) {
	h := &head{p.Authorization, p.IdempotencyKey, p.DeadlineMs, p.Class, p.ContentType}
	c, err := s.entry.modelCall(ctx, h, chatPath)
	return s.answer(ctx, c, err)
}

// Completions continues a prompt.
func (s *service) Completions(ctx context.Context, p *callers.CompletionsPayload, _ io.ReadCloser) (*callers.CallAnswer, io.ReadCloser, error) {
	h := &head{p.Authorization, p.IdempotencyKey, p.DeadlineMs, p.Class, p.ContentType}
	c, err := s.entry.modelCall(ctx, h, completionsPath)
	return s.answer(ctx, c, err)
}

// CallService calls a plain service.
func (s *service) CallService(ctx context.Context, p *callers.CallServicePayload, _ io.ReadCloser) (*callers.CallAnswer, io.ReadCloser, error) {
	h := &head{p.Authorization, p.IdempotencyKey, p.DeadlineMs, p.Class, p.ContentType}
	c, err := s.entry.serviceCall(ctx, h, p.Service, p.Path)
	return s.answer(ctx, c, err)
}

func (s *service) answer(ctx context.Context, c *call, err error) (*callers.CallAnswer, io.ReadCloser, error) {
	record := recordOf(ctx)
	if err != nil {
		return nil, nil, refuse(record, err)
	}
	a, err := s.entry.serve(ctx, c)
	if err != nil {
		return nil, nil, refuse(record, err)
	}
	a.record = record
	s.entry.metrics.FirstByte(record.class, c.cold, s.entry.cfg.Now().Sub(c.begun))
	if c.service != "" {
		record.status = a.status
	}
	return &callers.CallAnswer{ContentType: a.contentType, RequestID: record.id}, a, nil
}

// Models lists what the key's workspace may use.
func (s *service) Models(ctx context.Context, p *callers.ModelsPayload) (*callers.ModelsResult, error) {
	record := recordOf(ctx)
	snapshot, err := s.entry.freshView()
	if err != nil {
		return nil, refuse(record, err)
	}
	_, workspace, err := authenticate(snapshot, p.Authorization)
	if err != nil {
		return nil, refuse(record, err)
	}
	record.workspace = workspace.Name
	return &callers.ModelsResult{Object: "list", Data: listModels(snapshot, workspace.MayUseModel)}, nil
}

func listModels(snapshot *view.Snapshot, may func(string) bool) []*callers.ModelInfo {
	var list []*callers.ModelInfo
	for name := range snapshot.Configuration.Models {
		if may(name) {
			list = append(list, &callers.ModelInfo{ID: name, Object: "model"})
		}
	}
	for name, adapter := range snapshot.Configuration.Adapters {
		if may(name) {
			list = append(list, &callers.ModelInfo{ID: name, Object: "model", Base: &adapter.Model})
		}
	}
	slices.SortFunc(list, func(a, b *callers.ModelInfo) int { return cmp.Compare(a.ID, b.ID) })
	return list
}
