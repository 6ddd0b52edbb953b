/**
 * Translation between the users' platform and the product. Names of the platform's
 * headers, paths, fields and settings stand here and nowhere else; nothing is decided
 * here and nothing kept.
 */
package sycamorehill.platform;
