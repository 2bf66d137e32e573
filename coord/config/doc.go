// Package config is the aggregate of a deployment's configuration. A
// questionnaire is what an operator writes; Parse reads it strictly, Check
// refuses what cannot be served, and Generate derives the configuration that
// every process follows. Nobody writes routes or thresholds by hand: a value
// that is not in the questionnaire is derived here, with its reason.
package config
