// Package config reads the settings of one VM's process.
package config
