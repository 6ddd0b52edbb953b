/**
 * Rate limiting and backoff for calls to the platform, shared by all parts.
 */
package sycamorehill.logic.platform;
