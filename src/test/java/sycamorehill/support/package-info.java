/**
 * Hand-written fakes that several tests share.
 */
package sycamorehill.support;
