/**
 * Settings of processes in INI, checked whole.
 */
package sycamorehill.settings;
