/**
 * Clients of the targets: model engines and plain services.
 */
package sycamorehill.engine;
