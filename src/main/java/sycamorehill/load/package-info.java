/**
 * Open-loop load on callers' interfaces, which checks every answer.
 */
package sycamorehill.load;
