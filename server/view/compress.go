package view

import (
	"google.golang.org/protobuf/proto"

	"cowsliptiller/coord/config"
	"cowsliptiller/coord/coordpb"
	"cowsliptiller/server/pack"
)

// maxDeploymentBytes bounds a deployment in a view: some hundred thousand routes.
const maxDeploymentBytes = 64 << 20

// Compress shortens a view for the way. A questionnaire of 30,000 adapters has
// 1.3 MB; sent as it is at 1,000 changes a day it would alone cost each host three
// times what control may (docs/CAPACITY.md). Its lines are much alike, and so are the
// routes of a deployment.
func Compress(v *coordpb.View) *coordpb.View {
	if len(v.Questionnaire) > pack.Above {
		v.QuestionnaireGzip, v.Questionnaire = pack.Small(v.Questionnaire), nil
	}
	if proto.Size(v.Deployment) <= pack.Above {
		return v
	}
	data, err := proto.Marshal(v.Deployment)
	if err != nil {
		return v // as it is: the caller's encoder says what is wrong
	}
	v.DeploymentGzip, v.Deployment = pack.Small(data), nil
	return v
}

// questionnaireOf returns the text of a view, nil where it brings none. Text that
// grows beyond what a questionnaire may have is refused while it is read.
func questionnaireOf(v *coordpb.View) ([]byte, error) {
	if len(v.QuestionnaireGzip) == 0 {
		return v.Questionnaire, nil
	}
	return pack.Unpack(v.QuestionnaireGzip, config.MaxQuestionnaireBytes)
}

// deploymentOf returns the deployment of a view, nil where it brings none.
func deploymentOf(v *coordpb.View) (*coordpb.Deployment, error) {
	if len(v.DeploymentGzip) == 0 {
		return v.Deployment, nil
	}
	d := &coordpb.Deployment{}
	return d, pack.Unmarshal(v.DeploymentGzip, maxDeploymentBytes, d)
}
