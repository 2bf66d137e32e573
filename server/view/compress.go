package view

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/pack"
)

// maxDeploymentBytes limits the uncompressed size of a deployment in a view, which is
// enough for some hundred thousand routes.
const maxDeploymentBytes = 64 << 20

// Compress gzips the large parts of a view for transfer, in place, and returns the view.
// A questionnaire with 30,000 adapters has 1.3 MB: uncompressed, at 1,000 changes a day, it
// alone would cost each host three times the bandwidth budget of control traffic
// (docs/CAPACITY.md). Its lines are very similar and compress well, as do the routes of
// a deployment.
func Compress(v *coordpb.View) *coordpb.View {
	if len(v.Questionnaire) > pack.MinSize {
		v.QuestionnaireGzip, v.Questionnaire = pack.Small(v.Questionnaire), nil
	}
	if proto.Size(v.Deployment) <= pack.MinSize {
		return v
	}
	data, err := proto.Marshal(v.Deployment)
	if err != nil {
		return v // uncompressed: encoding the response reports the same error
	}
	v.DeploymentGzip, v.Deployment = pack.Small(data), nil
	return v
}

// questionnaireOf returns the questionnaire of a view, nil if it contains none. Decompression
// stops with an error once the text exceeds config.MaxQuestionnaireBytes.
func questionnaireOf(v *coordpb.View) ([]byte, error) {
	if len(v.QuestionnaireGzip) == 0 {
		return v.Questionnaire, nil
	}
	return pack.Decompress(v.QuestionnaireGzip, config.MaxQuestionnaireBytes)
}

// deploymentOf returns the deployment of a view, nil if it contains none.
func deploymentOf(v *coordpb.View) (*coordpb.Deployment, error) {
	if len(v.DeploymentGzip) == 0 {
		return v.Deployment, nil
	}
	d := &coordpb.Deployment{}
	return d, pack.Unmarshal(v.DeploymentGzip, maxDeploymentBytes, d)
}
