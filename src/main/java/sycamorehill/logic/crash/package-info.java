/**
 * Finds what crashes targets: evidence of targets that were lost while they ran requests,
 * which all nodes share, and what the requests on the crashed ones have in common.
 */
package sycamorehill.logic.crash;
