/**
 * What an entry VM serves and to whom: the configuration in force, the targets seen, the
 * requests of callers and the groups of engines. Plain data.
 */
package sycamorehill.model.serving;
