package sycamorehill.gateway;

/**
 * One message of a chat on the wire.
 *
 * @param role who speaks
 * @param content what is said
 */
record ChatMessage(String role, String content) {

}
