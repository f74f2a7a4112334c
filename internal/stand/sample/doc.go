// Package sample makes documents, settings and stand-ins of example deployments.
package sample
