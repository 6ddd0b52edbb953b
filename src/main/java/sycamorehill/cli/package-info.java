/**
 * Command line of the one binary.
 */
package sycamorehill.cli;
