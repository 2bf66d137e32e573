package view

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"os"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/coord/fault"
)

func TestView(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "view")
}

var _ = Describe("a questionnaire on its way", func() {
	It("is compressed if it is large, and decompresses to the same text", func() {
		text, err := os.ReadFile("../../examples/kyklos.yaml")
		Expect(err).NotTo(HaveOccurred())
		v := Compress(&coordpb.View{Questionnaire: text})
		Expect(v.Questionnaire).To(BeEmpty())
		Expect(len(v.QuestionnaireGzip)).To(BeNumerically("<", len(text)/4))
		decompressed, err := questionnaireOf(v)
		Expect(err).NotTo(HaveOccurred())
		Expect(decompressed).To(Equal(text))
	})

	// Guards against views that saturate the link of a control process after each change.
	It("is compressed if it is a deployment with many routes", func() {
		d := &coordpb.Deployment{Version: 7}
		for i := range 4000 {
			d.Routes = append(d.Routes, &coordpb.DeploymentRoute{Name: fmt.Sprintf("r-%x", i*7919), Host: "a.example", Prefix: fmt.Sprintf("/%x/", i*104729)})
		}
		v := Compress(&coordpb.View{Deployment: proto.CloneOf(d)})
		Expect(v.Deployment).To(BeNil())
		Expect(len(v.DeploymentGzip)).To(BeNumerically("<", proto.Size(d)/3))
		decompressed, err := deploymentOf(v)
		Expect(err).NotTo(HaveOccurred())
		Expect(proto.Equal(decompressed, d)).To(BeTrue())
		small := Compress(&coordpb.View{Deployment: &coordpb.Deployment{Version: 1}})
		Expect(small.Deployment.Version).To(BeEquivalentTo(1))
	})

	// Guards against a view of a few kilobytes that decompresses to gigabytes, so that
	// all hosts that follow control run out of memory at the same time.
	It("is rejected if it decompresses to more than the maximum size", func() {
		var b bytes.Buffer
		w := gzip.NewWriter(&b)
		_, err := w.Write(make([]byte, config.MaxQuestionnaireBytes+1))
		Expect(err).NotTo(HaveOccurred())
		Expect(w.Close()).To(Succeed())
		_, err = questionnaireOf(&coordpb.View{QuestionnaireGzip: b.Bytes()})
		Expect(fault.Is(err, fault.TooLarge)).To(BeTrue())
	})

	It("compresses to less than a quarter with 300 to 30,000 adapters", func() {
		for _, n := range []int{300, 3_000, 30_000} {
			var b bytes.Buffer
			for i := range n {
				fmt.Fprintf(&b, "  - {name: team%03d-adapter-%05d, model: model-%03d, size: %dMiB}\n", i*7919%500, i, i*104729%300, 24+i*31%60)
			}
			v := Compress(&coordpb.View{Questionnaire: b.Bytes()})
			AddReportEntry(fmt.Sprintf("%d adapters", n), fmt.Sprintf("%d bytes, %d compressed", b.Len(), len(v.QuestionnaireGzip)))
			Expect(len(v.QuestionnaireGzip)).To(BeNumerically("<", b.Len()/4))
		}
	})
})
