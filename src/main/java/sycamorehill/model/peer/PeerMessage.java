package sycamorehill.model.peer;

/**
 * A message between two nodes. Each type of message is registered under its own name with
 * the codec for peer messages.
 */
public interface PeerMessage {

}
