// Package config reads and checks the settings file of one VM's process.
package config
