/**
 * Data model of an entry node: the configuration in effect, the known targets, callers'
 * requests and the groups of engines. Contains no logic.
 */
package sycamorehill.model.serving;
