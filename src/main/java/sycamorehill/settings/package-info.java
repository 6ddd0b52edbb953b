/**
 * Reads the settings of processes from INI files and reports all faults together.
 */
package sycamorehill.settings;
