/**
 * Translates between the users' platform and the load balancer. Names of the platform's
 * headers, paths, fields and settings occur only in this package, which makes no
 * decisions and keeps no state.
 */
package sycamorehill.platform;
