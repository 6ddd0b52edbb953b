/**
 * The life of a request: attempts, retries, resumes and its outcome.
 */
package sycamorehill.logic.request;
