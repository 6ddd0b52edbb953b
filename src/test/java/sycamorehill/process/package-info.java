/**
 * Tests that start the binary as separate processes.
 */
package sycamorehill.process;
