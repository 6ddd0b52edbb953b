/**
 * Adapters to targets: model engines and plain services.
 */
package sycamorehill.engine;
