// Package config reads an operator's questionnaire and derives a deployment's
// configuration from it. Parse decodes the questionnaire strictly and rejects one
// that cannot be served; Generate derives the configuration that every process
// applies. Routes and thresholds are not written by hand: a value that is not in the
// questionnaire is derived here.
package config
