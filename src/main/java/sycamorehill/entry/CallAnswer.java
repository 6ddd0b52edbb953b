package sycamorehill.entry;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Complete answer to a call that the node makes itself.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the body
 */
public record CallAnswer(int status, HttpHeaders headers, byte[] body) {
}
