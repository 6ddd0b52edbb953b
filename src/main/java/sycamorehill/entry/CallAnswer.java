package sycamorehill.entry;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Whole answer to a call of our own.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record CallAnswer(int status, HttpHeaders headers, byte[] body) {
}
